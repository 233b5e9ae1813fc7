//! Identifiers, numbers, clocks and secrets that all jaylock crates share.

mod bounded_log;
mod clock;
mod hash;
mod identifier;
mod notice;
mod number;
mod response_times;
mod run;
mod secret;
mod stream;

pub use self::bounded_log::BoundedLog;
pub use self::clock::{Clock, SystemClock, boottime_now, long_millis, millis, unix_ms};
pub use self::hash::Fnv;
pub use self::identifier::{
    AdapterId, BackendId, DomainId, InstanceId, InvalidId, ModelId, OrganisationId, PoolId,
    RequestId, RouteId, ServiceId, VersionId,
};
pub use self::notice::{NamedWorkTime, Notice};
pub use self::number::{
    ByteSize, Epoch, Fence, Incarnation, Index, InvalidNumber, ProcessorShare, RequestRate,
    Revision, Term, Tokens, Weight, WorkPercent,
};
pub use self::response_times::{HedgePlan, ResponseTimes};
pub use self::run::PROVEN_AFTER;
pub use self::secret::{KeyHash, Secret};
pub use self::stream::StreamId;
