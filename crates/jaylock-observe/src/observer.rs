use compact_str::CompactString;
use jaylock_types::RequestId;

use crate::RequestRecord;

/// Takes notes of what an instance does; clones share them.
#[derive(Clone, Default)]
pub struct Observer {}

impl Observer {
    /// Counts a finished request.
    pub fn finished(&self, record: &RequestRecord) {
        log::info!(target: "router", "request {} ended with {}", record.request, record.status);
    }

    /// Notes a step in the life of a request, for explaining it later.
    pub fn step(&self, request: &RequestId, text: impl Into<CompactString>) {
        log::debug!(target: "router", "request {request}: {}", text.into());
    }
}
