use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::refusal::Reason;
use jaylock_types::StreamId;

use crate::allocator::Allocator;
use crate::encoding::request_id;
use crate::router::RouterKey;
use crate::stream_origins::RETENTION;

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
        let began_here = !ask.may_be_elsewhere && self.knows_all_streams(now);
        match self.sole_version(now) {
            Some(software) if stream == StreamId::UNNAMED || began_here => {
                ask.software = Some(software.as_str().into());
                Origin::Resolved
            }
            _ => Origin::Unknown,
        }
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

    /// The only version that the pool's backend servers had lately; `None` if there were several or none.
    fn sole_version(&self, now: Instant) -> Option<CompactString> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        let recent = self
            .backends
            .iter()
            .filter(|b| is_recent(b.last_report) && b.report.slots > 0);
        let reported = recent.map(|backend| backend.report.software.as_str());
        let begun = self.origins.versions().map(CompactString::as_str);
        let mut versions = reported.chain(begun);
        let first = versions.next()?;
        versions.all(|other| other == first).then(|| first.into())
    }

    /// Whether this scheduler has granted all slots of the pool for as long as a stream may be taken up.
    fn knows_all_streams(&self, now: Instant) -> bool {
        self.epoch == FIRST_EPOCH || now.saturating_duration_since(self.ready_at) >= RETENTION
    }
}
