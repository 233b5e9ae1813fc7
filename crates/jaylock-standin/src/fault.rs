use crate::generated_text::find_number;

/// Fault of a stand-in that a word in a prompt or body requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process exits.
    Crash,
    /// The connection is closed after this chunk.
    Disconnect(u32),
    /// Nothing is sent after this chunk, and the connection stays open.
    Stall(u32),
    /// The body ends without an error after this chunk, before the final one.
    Truncate(u32),
    /// This chunk is sent twice.
    Duplicate(u32),
    /// The chunks have the id and the text of another request.
    WrongRequest,
    /// A plain service runs the call and closes the connection without a response.
    DropResponse,
}

impl Fault {
    /// Returns the fault that a text requests.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        if text.split_whitespace().any(|w| w == "crash") {
            return Some(Self::Crash);
        }
        if text.split_whitespace().any(|w| w == "crossed") {
            return Some(Self::WrongRequest);
        }
        if find_number(text, "lose").is_some() {
            return Some(Self::DropResponse);
        }
        let with_number = |name, variant: fn(u32) -> Self| find_number(text, name).map(variant);
        with_number("break", Self::Disconnect)
            .or_else(|| with_number("silent", Self::Stall))
            .or_else(|| with_number("short", Self::Truncate))
            .or_else(|| with_number("double", Self::Duplicate))
    }
}
