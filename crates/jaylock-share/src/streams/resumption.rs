use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_types::StreamId;

use crate::encoding::request_id;
use crate::scheduler::allocator::Allocator;
use crate::scheduler::router::RouterKey;
use crate::streams::stream_origins::RETENTION;

/// Time after the start of a scheduler in which routers attach and list the streams that they began.
const SETTLING_TIME: Duration = Duration::from_millis(700);
/// Retry delay for a request that takes up a stream of unknown origin.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Epoch of a pool's first scheduler.
const FIRST_EPOCH: u64 = 1;

/// What is known of the version at which a request must run.
pub enum Origin {
    /// It is set in the request, or any version may run it.
    Resolved,
    /// A router that has not attached yet may know it.
    Awaited,
    /// Nobody knows it.
    Unknown,
}

impl Allocator {
    /// Sets the version at which the stream that a request takes up must go on.
    pub(crate) fn resolve_origin(&self, ask: &mut Ask, now: Instant) -> Origin {
        let stream = match ask.begun_stream {
            Some(stream) if ask.software.is_none() => StreamId(stream),
            _ => return Origin::Resolved,
        };
        if let Some(software) = self.origins.find(stream) {
            ask.software = Some(software.as_str().into());
            return Origin::Resolved;
        }
        if now < self.ready_at + SETTLING_TIME {
            return Origin::Awaited;
        }
        let only = self.sole_version().filter(|_| !ask.may_be_elsewhere);
        let software = match stream {
            StreamId::UNNAMED => only.or_else(|| self.sole_recent_version(now)),
            _ => only,
        };
        let Some(software) = software else {
            return Origin::Unknown;
        };
        ask.software = Some(software.as_str().into());
        Origin::Resolved
    }

    /// Decides again on the requests whose streams were of unknown origin.
    pub(crate) fn resolve_waiting(&mut self, now: Instant) {
        for (router, ask) in std::mem::take(&mut self.unresolved) {
            self.add_ask(router, ask, now);
        }
    }

    pub(crate) fn refuse_unknown(&mut self, router: RouterKey, ask: &Ask) {
        log::info!(
            target: "share",
            request = request_id(ask).as_str(), pool = self.pool.as_str(),
            stream = StreamId(ask.begun_stream.unwrap_or_default()).to_string().as_str();
            "refused to continue a stream, as it is not known which version began it"
        );
        self.refuse(
            router,
            ask.ticket,
            Reason::UnknownStream,
            UNKNOWN_RETRY_DELAY,
        );
    }

    /// The only version that the pool ever had; `None` if it had several or none, or an earlier scheduler.
    ///
    /// A stream that is not known began at a router without a scheduler, where the list of an earlier one may hold on.
    fn sole_version(&self) -> Option<&CompactString> {
        let is_first = self.epoch == FIRST_EPOCH;
        self.origins.seen.sole().filter(|_| is_first)
    }

    /// The only version that the pool had while callers may still take streams up; `None` if it had several.
    fn sole_recent_version(&self, now: Instant) -> Option<&CompactString> {
        let since = now.checked_sub(RETENTION).unwrap_or(now);
        let seen = &self.origins.seen;
        seen.sole_since(since).filter(|_| self.has_all_reports(now))
    }
}
