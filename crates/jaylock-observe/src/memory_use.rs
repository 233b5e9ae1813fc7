/// What memory that grows with load or with the configuration is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// Entries of the replicated log.
    Log,
    /// The newest changes of the configuration, kept for instances that watch it.
    Changes,
    /// Bodies of the requests and responses in progress.
    Bodies,
    /// Configuration documents that wait for control.
    Documents,
}

impl MemoryUse {
    /// Label value of the metric.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::Changes => "changes",
            Self::Bodies => "bodies",
            Self::Documents => "documents",
        }
    }
}
