//! Lists sorted by a text key.

/// Finds the entry under a key.
pub fn find<'a, T>(list: &'a [T], key: &str, of: impl Fn(&T) -> &str) -> Option<&'a T> {
    let at = list.binary_search_by(|entry| of(entry).cmp(key)).ok()?;
    list.get(at)
}

/// Puts an entry in its place; one under the same key is replaced.
pub fn put<T>(list: &mut Vec<T>, entry: T, of: impl Fn(&T) -> &str) {
    match list.binary_search_by(|other| of(other).cmp(of(&entry))) {
        Ok(at) => list[at] = entry,
        Err(at) => list.insert(at, entry),
    }
}

/// Takes the entry under a key away and says whether there was one.
pub fn remove<T>(list: &mut Vec<T>, key: &str, of: impl Fn(&T) -> &str) -> bool {
    let found = list.binary_search_by(|entry| of(entry).cmp(key));
    if let Ok(at) = found {
        list.remove(at);
    }
    found.is_ok()
}
