use jaylock_types::Secret;

use crate::key::{Key, SettingsSection};

/// Secrets that authenticate instances and operators.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SecuritySettings {
    /// Secret that all instances of the fleet share.
    pub peer_secret: Secret,
    /// Secret that operators send.
    pub operator_secret: Secret,
}

impl SettingsSection for SecuritySettings {
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
    let is_printable = text.bytes().all(|b| b.is_ascii_graphic());
    (text.len() >= MIN_SECRET_CHARS && is_printable).then(|| Secret::new(text))
}

/// Minimum length of a secret, in characters.
const MIN_SECRET_CHARS: usize = 8;

/// Form of a secret, for errors.
const SECRET: &str = "at least 8 characters without spaces";
