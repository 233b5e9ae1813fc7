//! Operations on lists that are sorted by a text key.

/// Finds the entry with a key.
pub fn find<'a, T>(list: &'a [T], key: &str, key_of: impl Fn(&T) -> &str) -> Option<&'a T> {
    let position = list.binary_search_by(|entry| key_of(entry).cmp(key)).ok()?;
    list.get(position)
}

/// Inserts an entry in order, or replaces the entry with the same key.
pub fn put<T>(list: &mut Vec<T>, entry: T, key_of: impl Fn(&T) -> &str) {
    match list.binary_search_by(|other| key_of(other).cmp(key_of(&entry))) {
        Ok(position) => list[position] = entry,
        Err(position) => list.insert(position, entry),
    }
}

/// Removes the entry with a key and returns whether there was one.
pub fn remove<T>(list: &mut Vec<T>, key: &str, key_of: impl Fn(&T) -> &str) -> bool {
    let found = list.binary_search_by(|entry| key_of(entry).cmp(key));
    if let Ok(position) = found {
        list.remove(position);
    }
    found.is_ok()
}
