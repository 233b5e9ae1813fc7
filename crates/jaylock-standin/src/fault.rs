use crate::answer::word;

/// What a stand-in does wrong, as its caller's text asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process ends.
    Crash,
    /// The connection is cut after this piece.
    Break(u32),
    /// Nothing more is sent after this piece, and the connection stays open.
    Silent(u32),
    /// The body ends properly after this piece, without the last chunk.
    Short(u32),
    /// This piece is sent twice.
    Double(u32),
    /// The pieces carry the id of another request.
    Crossed,
    /// A plain service runs the call and closes the connection without an answer.
    Lose,
}

impl Fault {
    /// Finds the first fault that a text asks for.
    #[must_use]
    pub fn of(text: &str) -> Option<Self> {
        if text.split_whitespace().any(|w| w == "crash") {
            return Some(Self::Crash);
        }
        if text.split_whitespace().any(|w| w == "crossed") {
            return Some(Self::Crossed);
        }
        if word(text, "lose").is_some() {
            return Some(Self::Lose);
        }
        let after = |name, make: fn(u32) -> Self| word(text, name).map(make);
        after("break", Self::Break)
            .or_else(|| after("silent", Self::Silent))
            .or_else(|| after("short", Self::Short))
            .or_else(|| after("double", Self::Double))
    }
}
