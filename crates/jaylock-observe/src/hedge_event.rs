/// What happened to a second attempt beside a slow one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeEvent {
    /// It was granted a slot.
    Sent,
    /// Its response went to the caller.
    Won,
    /// The operators' limit or the retry budget did not allow it.
    OverLimit,
    /// The scheduler had no slot to spare, or there was no scheduler.
    NoSpareSlot,
}

impl HedgeEvent {
    /// Value of the label in the metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Won => "won",
            Self::OverLimit => "over-limit",
            Self::NoSpareSlot => "no-spare-slot",
        }
    }
}
