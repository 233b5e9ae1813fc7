use jaylock_types::Secret;

use crate::key::{Key, Part};

/// Secrets that instances and operators show each other.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SecuritySettings {
    /// Secret that every instance of the fleet shares.
    pub peer_secret: Secret,
    /// Secret that operators send.
    pub operator_secret: Secret,
}

impl Part for SecuritySettings {
    const SECTION: &'static str = "security";
    const KEYS: &'static [Key<Self>] = &[
        Key::secret("peer_secret", SECRET, |s, v| {
            secret(v).map(|text| s.peer_secret = text)
        }),
        Key::secret("operator_secret", SECRET, |s, v| {
            secret(v).map(|text| s.operator_secret = text)
        }),
    ];
}

fn secret(text: &str) -> Option<Secret> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    (text.len() >= SHORTEST_SECRET && visible).then(|| Secret::new(text))
}

/// Shortest secret, in characters.
const SHORTEST_SECRET: usize = 8;

/// What a secret looks like.
const SECRET: &str = "at least 8 characters without spaces";
