use std::fmt::{self, Debug, Display, Formatter};

use compact_str::CompactString;
use sha2::{Digest, Sha256};

/// A shared secret that authenticates instances or operators; its debug output hides the text.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Secret(CompactString);

impl Secret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the text of the secret, for sending.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `other` is the same secret; compares hashes, so that the time taken reveals nothing.
    #[must_use]
    pub fn matches(&self, other: &str) -> bool {
        KeyHash::from_key(&self.0) == KeyHash::from_key(other)
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// SHA-256 of an API key; the key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Computes the hash of a key.
    #[must_use]
    pub fn from_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl Display for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
