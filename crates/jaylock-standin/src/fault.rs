use crate::generated_text::find_number;

/// What a stand-in does wrong, as its caller's text asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process ends.
    Crash,
    /// The connection is cut after this piece.
    Disconnect(u32),
    /// Nothing more is sent after this piece, and the connection stays open.
    Stall(u32),
    /// The body ends properly after this piece, without the last chunk.
    Truncate(u32),
    /// This piece is sent twice.
    Duplicate(u32),
    /// The pieces carry the id of another request.
    WrongRequest,
    /// A plain service runs the call and closes the connection without an answer.
    DropResponse,
}

impl Fault {
    /// Finds the first fault that a text asks for.
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
