use std::time::Instant;

use crate::scheduler::router::RouterKey;

/// Routers that must fail to reach a backend server, with no response to any router in between.
///
/// A few failures may be due to the routers' own networks.
const MAX_FAILED_ROUTERS: usize = 3;

/// Whether routers can open connections to a backend server.
///
/// A crashed backend server refuses connections at once and so looks idle until its lease ends.
#[derive(Debug, Default)]
pub struct Reachability {
    // Routers that could not open a connection since its last response; sorted.
    failed_routers: Vec<RouterKey>,
    // When enough routers had failed to reach it.
    lost_since: Option<Instant>,
}

impl Reachability {
    /// Whether enough routers have failed to reach it.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that one of `router_count` routers could not open a connection.
    pub fn record_failure(&mut self, router: RouterKey, router_count: usize, now: Instant) {
        if let Err(position) = self.failed_routers.binary_search(&router) {
            self.failed_routers.insert(position, router);
        }
        if self.failed_routers.len() >= MAX_FAILED_ROUTERS.min(router_count) {
            self.lost_since.get_or_insert(now);
        }
    }

    /// Records that a router lost a connection and could open no other one, as the process has ended.
    pub fn record_crash(&mut self, now: Instant) {
        self.lost_since = Some(now);
    }

    /// Records that the backend server has responded to a router.
    pub fn record_response(&mut self) {
        self.failed_routers.clear();
        self.lost_since = None;
    }

    /// Records a report, which counts as a response if it was sent after the failures.
    pub fn record_report(&mut self, sent_at: Instant) {
        if self.lost_since.is_some_and(|since| sent_at > since) {
            self.record_response();
        }
    }
}
