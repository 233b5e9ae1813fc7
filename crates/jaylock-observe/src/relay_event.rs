/// What happened to a connection that one router passes on to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEvent {
    /// The other router took it.
    Taken,
    /// The other router had no room.
    Refused,
    /// The other router did not answer.
    Unreachable,
    /// A connection to this router did not come from an instance of the fleet.
    Invalid,
}

impl RelayEvent {
    /// Value of the label in the metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Invalid => "invalid",
        }
    }
}
