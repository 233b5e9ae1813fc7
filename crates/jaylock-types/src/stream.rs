use std::fmt::{self, Display, Formatter};
use std::hash::Hasher;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::hash::Fnv;

/// Identifies a stream over all requests that continue it, by a hash of the request that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

impl StreamId {
    /// A stream of which nobody says which request began it.
    pub const UNNAMED: Self = Self(0);

    /// Returns the stream of a message, in which 0 stands for none.
    #[must_use]
    pub fn from_message(value: u64) -> Option<Self> {
        Some(Self(value)).filter(|stream| *stream != Self::UNNAMED)
    }

    /// Identifies the stream that an organisation's request begins.
    #[must_use]
    pub fn new(organisation: &str, request: &str) -> Self {
        let mut hasher = Fnv::default();
        hasher.write(organisation.as_bytes());
        hasher.write_u8(0);
        hasher.write(request.as_bytes());
        Self(hasher.finish())
    }
}

impl Display for StreamId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
