//! Checks of callers' keys, each in no more than n log n of the number of keys.

use jaylock_rpc::v1::Organisation;

/// Size of the SHA-256 hash of a caller's key.
const KEY_HASH_BYTES: usize = 32;

/// A key of a list of organisations.
struct Key<'a> {
    hash: &'a [u8],
    /// First bytes of the hash, which nearly always decide the order.
    prefix: u64,
    owner: &'a Organisation,
}

/// Checks that the keys of an organisation are hashes that no other organisation has.
pub fn check_new_keys(organisation: &Organisation, all: &[Organisation]) -> Result<(), String> {
    check_hashes(organisation)?;
    let own = sorted_keys(std::slice::from_ref(organisation));
    let others = all.iter().filter(|o| o.id != organisation.id);
    for other in others {
        let mut hashes = other.key_hashes.iter();
        if hashes.any(|hash| contains(&own, hash)) {
            return Err(format!(
                "organisation {} has this key: choose another",
                other.id
            ));
        }
    }
    Ok(())
}

/// Checks that the keys of all organisations are hashes that none of another name has.
pub fn check_keys(organisations: &[Organisation]) -> Result<(), String> {
    organisations.iter().try_for_each(check_hashes)?;
    refuse_shared(organisations, |a, b| a.id == b.id)
}

/// Checks that no two organisations, even of one name, have a key in common.
pub fn check_distinct_keys(organisations: &[Organisation]) -> Result<(), String> {
    refuse_shared(organisations, |a, b| std::ptr::eq(a, b))
}

fn check_hashes(organisation: &Organisation) -> Result<(), String> {
    let mut hashes = organisation.key_hashes.iter();
    if hashes.any(|hash| hash.len() != KEY_HASH_BYTES) {
        return Err("a key hash has 32 bytes: send the SHA-256 of the key".into());
    }
    Ok(())
}

fn refuse_shared(
    organisations: &[Organisation],
    is_same: impl Fn(&Organisation, &Organisation) -> bool,
) -> Result<(), String> {
    if !has_common_prefix(organisations) {
        return Ok(());
    }
    let keys = sorted_keys(organisations);
    for pair in keys.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        if first.hash == second.hash && !is_same(first.owner, second.owner) {
            return Err(format!(
                "organisations {} and {} have a key in common: give each its own",
                first.owner.id, second.owner.id
            ));
        }
    }
    Ok(())
}

/// Whether two hashes begin alike, as they hardly ever do unless a key stands twice.
fn has_common_prefix(organisations: &[Organisation]) -> bool {
    let hashes = organisations.iter().flat_map(|o| &o.key_hashes);
    let mut prefixes: Vec<u64> = hashes.map(|hash| prefix(hash)).collect();
    prefixes.sort_unstable();
    prefixes.windows(2).any(|pair| pair[0] == pair[1])
}

/// The keys of organisations, sorted by hash and then by the name of their owner.
fn sorted_keys(organisations: &[Organisation]) -> Vec<Key<'_>> {
    let count = organisations.iter().map(|o| o.key_hashes.len()).sum();
    let mut keys = Vec::with_capacity(count);
    for owner in organisations {
        keys.extend(owner.key_hashes.iter().map(|hash| Key {
            hash,
            prefix: prefix(hash),
            owner,
        }));
    }
    keys.sort_unstable_by(|a, b| {
        let by_hash = a.prefix.cmp(&b.prefix).then_with(|| a.hash.cmp(b.hash));
        by_hash.then_with(|| a.owner.id.cmp(&b.owner.id))
    });
    keys
}

fn contains(sorted: &[Key<'_>], hash: &[u8]) -> bool {
    let wanted = prefix(hash);
    let search = sorted.binary_search_by(|key| key.prefix.cmp(&wanted).then(key.hash.cmp(hash)));
    search.is_ok()
}

/// The first bytes of a hash as a number in the same order.
fn prefix(hash: &[u8]) -> u64 {
    hash.first_chunk().copied().map_or(0, u64::from_be_bytes)
}
