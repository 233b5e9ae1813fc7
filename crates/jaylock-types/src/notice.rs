use std::time::Duration;

use crate::RequestRate;

/// What a backend server tells about itself in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Requests a second that it takes from all routers together.
    pub limit: Option<RequestRate>,
    /// Whether it leaves and wants no new request from anyone.
    pub is_leaving: bool,
    /// Time for which it wants no request from this router.
    pub pause: Option<Duration>,
    /// Time for which it is still cold; 0 if it is not or doesn't say.
    pub cold: Duration,
}
