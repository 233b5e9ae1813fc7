use std::time::Duration;

/// Size of a block of a reply without end.
const ENDLESS_BLOCK: usize = 16 << 10;

/// The bytes that a backend server replies.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Bytes of the reply.
    pub bytes: Vec<u8>,
    /// Further bytes, each after a pause.
    pub later: Vec<(Duration, Vec<u8>)>,
    /// Bytes that are sent again and again after the others, until the connection is closed.
    pub endless: Vec<u8>,
    /// Whether the connection is closed after the reply.
    pub closes_connection: bool,
    /// How long after the reply the connection is reset; after it was closed in an orderly way, if that is set too.
    pub reset_after: Option<Duration>,
    /// Whether the backend server crashes after the reply.
    pub crashes: bool,
}

impl Reply {
    /// The last chunk of a chunked body.
    pub const LAST_CHUNK: &str = "0\r\n\r\n";
    /// The beginning of a fourth event, in the middle of which a stream breaks off.
    pub const BROKEN_EVENT: &str = "20\r\nid: 4\ndata: pie";

    /// A reply after which the connection stays open.
    pub fn from_text(text: &str) -> Self {
        Self {
            bytes: text.as_bytes().to_vec(),
            later: Vec::new(),
            endless: Vec::new(),
            closes_connection: false,
            reset_after: None,
            crashes: false,
        }
    }

    /// Goes on with `filler` after this reply, until the connection is closed.
    pub fn with_endless(mut self, filler: &str) -> Self {
        self.endless = filler.repeat(ENDLESS_BLOCK / filler.len()).into();
        self
    }

    /// A reply without a byte that closes the connection.
    pub fn empty() -> Self {
        Self {
            closes_connection: true,
            ..Self::from_text("")
        }
    }
}
