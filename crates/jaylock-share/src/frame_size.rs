use prost::Message;

/// Most bytes of one kind of item in a message; receivers take messages of 4 MiB.
const MAX_ITEMS_BYTES: usize = 1 << 20;

/// Takes the first items that fit into one message, and at least one.
pub fn take_within<M: Message>(items: &mut Vec<M>) -> Vec<M> {
    let mut sum = 0;
    let is_over = |item: &M| {
        sum += item.encoded_len();
        sum > MAX_ITEMS_BYTES
    };
    let count = items.iter().position(is_over).unwrap_or(items.len());
    let rest = items.split_off(count.max(1).min(items.len()));
    std::mem::replace(items, rest)
}

/// Keeps the items that fit into one message, the shortest ones if not all do.
pub fn keep_within<M: Message>(mut items: Vec<M>) -> Vec<M> {
    let sum: usize = items.iter().map(Message::encoded_len).sum();
    if sum > MAX_ITEMS_BYTES {
        items.sort_by_key(Message::encoded_len);
    }
    take_within(&mut items)
}
