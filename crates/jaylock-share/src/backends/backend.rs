use std::time::{Duration, Instant};

use jaylock_rpc::v1::BackendReport;
use jaylock_types::RequestRate;

use crate::backends::cold::{ColdChange, ColdPolicy, ColdState};
use crate::backends::rate_limit::RateLimiter;
use crate::backends::reachability::Reachability;
use crate::placement::engine::EngineEstimate;
use crate::placement::pace::ServerPace;

/// Time for which reports of external load may fill a backend server before a request probes it.
const STUCK_LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a heartbeat may take to arrive.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(10);

/// Time without any response that names a limit, after one without it, until the limit is lifted.
const LIFT_DELAY: Duration = Duration::from_secs(1);

/// What the scheduler knows of one backend server.
#[derive(Debug)]
pub struct Backend {
    pub report: BackendReport,
    pub last_report: Instant,
    pub granted: u32,
    pub orders: OperatorOrders,
    /// Estimated prefill and cache, for requests that list the parts of their prompts.
    pub engine: EngineEstimate,
    /// How fast it works, relative to the pool.
    pub pace: ServerPace,
    /// Whether an isolated request runs there or waits for the backend server to become idle.
    pub is_reserved: bool,
    // Reported requests that this scheduler did not grant.
    external_load: u32,
    // Since when the external load alone has taken all slots.
    externally_full_since: Option<Instant>,
    // Most concurrent grants since the last report, and between the two reports before that.
    peak_grants: [u32; 2],
    /// When the backend server announced its end; older reports are ignored.
    pub ended_at: Option<Instant>,
    /// Latest start that told a router in a response that it leaves, or whose departure was recorded; 0 if none did.
    pub left_incarnation: u64,
    limit: Option<Limit>,
    pub cold: ColdState,
    // Grants whose requests are not known to have arrived or ended.
    unconfirmed: u32,
    /// Whether it takes no request now, for its limit or as it is cold.
    pub is_limited: bool,
    // When its last crash became known.
    last_crash: Option<Instant>,
    /// Whether routers can open connections to it.
    pub reachability: Reachability,
    // Sorted.
    cached_prefixes: Vec<u64>,
}

/// What operators have ordered about a backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct OperatorOrders {
    pub is_drained: bool,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
}

/// The rate of requests that a backend server takes from all routers together.
#[derive(Debug)]
struct Limit {
    limiter: RateLimiter,
    // Since when no router has read it, while one read a response without it.
    lifted_at: Option<Instant>,
}

impl Backend {
    /// Creates the state of a backend server that was named for the first time.
    pub fn new(report: BackendReport, now: Instant) -> Self {
        Self {
            last_report: report_time(&report, now),
            report,
            granted: 0,
            orders: OperatorOrders::default(),
            engine: EngineEstimate::default(),
            pace: ServerPace::default(),
            is_reserved: false,
            external_load: 0,
            externally_full_since: None,
            peak_grants: [0; 2],
            ended_at: None,
            left_incarnation: 0,
            limit: None,
            cold: ColdState::new(now),
            unconfirmed: 0,
            is_limited: false,
            last_crash: None,
            reachability: Reachability::default(),
            cached_prefixes: Vec::new(),
        }
    }

    /// Whether this start has ended or said that it leaves, so that it takes no requests any more.
    pub fn has_left(&self) -> bool {
        self.report.gone || self.report.leaving || self.has_said_to_leave()
    }

    /// Reason why the backend server gets no new requests; empty if it may get some.
    pub fn unusable_reason(&self, now: Instant, lease: Duration) -> &'static str {
        if self.report.gone {
            "gone"
        } else if self.report.leaving || self.has_said_to_leave() {
            "leaving"
        } else if self.orders.is_drained {
            "drained"
        } else if self.orders.is_evacuated {
            "evacuated"
        } else if now.saturating_duration_since(self.last_report) >= lease {
            "lost"
        } else if self.reachability.is_lost() {
            "unreachable"
        } else {
            ""
        }
    }

    /// Whether this start has said that it leaves, whatever its reports say.
    fn has_said_to_leave(&self) -> bool {
        self.left_incarnation > 0 && self.report.incarnation <= self.left_incarnation
    }

    /// Slots that are free now.
    pub fn free_slots(&self) -> u32 {
        let used = self.granted.saturating_add(self.external_load);
        self.report.slots.saturating_sub(used)
    }

    /// Whether a request may probe the backend server although its reports leave no free slot.
    ///
    /// A stale report would otherwise exclude the backend server for ever; one that is really full
    /// declines the request.
    pub fn may_probe(&self, now: Instant) -> bool {
        let is_overdue = |since| now.saturating_duration_since(since) >= STUCK_LOAD_TIMEOUT;
        self.granted == 0 && self.externally_full_since.is_some_and(is_overdue)
    }

    /// Whether an end was announced before any report arrived, so recently that an older heartbeat may still arrive.
    pub fn may_have_ended(&self, now: Instant) -> bool {
        let is_recent = |ended_at| now.saturating_duration_since(ended_at) < MAX_HEARTBEAT_DELAY;
        self.report.gone && self.report.incarnation == 0 && self.ended_at.is_some_and(is_recent)
    }

    /// Whether the external load takes all slots.
    fn is_externally_full(&self) -> bool {
        self.external_load >= self.report.slots
    }

    /// Whether no request is known to run there.
    pub fn is_idle(&self) -> bool {
        self.granted == 0 && self.external_load == 0
    }

    /// Share of the slots that is taken, in percent.
    pub fn load_percent(&self) -> u32 {
        let used = u64::from(self.granted) + u64::from(self.external_load);
        let share = used * 100 / u64::from(self.report.slots.max(1));
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Applies a limit that the backend server named to a router, or no longer names.
    ///
    /// A limit is lifted only some time later, as a response from before it may arrive after it.
    pub fn set_limit(&mut self, rate: Option<RequestRate>, now: Instant) {
        let id = self.report.id.as_str();
        match (rate, &mut self.limit) {
            (Some(rate), Some(limit)) => {
                limit.limiter.set_rate(rate, now);
                limit.lifted_at = None;
            }
            (Some(rate), None) => {
                log::info!(target: "share", backend = id, rate = rate.per_second(); "a backend server names a limit");
                self.limit = Some(Limit {
                    limiter: RateLimiter::new(rate, now),
                    lifted_at: None,
                });
            }
            (None, Some(limit)) => {
                limit.lifted_at.get_or_insert(now);
            }
            (None, None) => {}
        }
    }

    /// Updates whether the server is cold and whether it takes a request now; returns whether its cache is lost.
    pub fn update_limits(&mut self, policy: &ColdPolicy, now: Instant) -> bool {
        let change = self.cold.update(policy.settings, now);
        if let Some(change) = change {
            self.log_cold(change, policy);
        }
        let is_cold_limited = self.cold.is_limited(policy, self.unconfirmed, now);
        self.is_limited = !self.limit_admits(now) || is_cold_limited;
        let has_turned_cold = change == Some(ColdChange::TurnedCold);
        if has_turned_cold {
            self.cached_prefixes.clear();
            self.engine.forget_unused_parts();
        }
        has_turned_cold
    }

    fn log_cold(&self, change: ColdChange, policy: &ColdPolicy) {
        let (backend, incarnation) = (self.report.id.as_str(), self.report.incarnation);
        let rate = policy.settings.map_or(0.0, |s| s.rate.per_second());
        match change {
            ColdChange::TurnedCold => {
                log::info!(target: "share", backend = backend, incarnation = incarnation, rate = rate; "a backend server is cold");
            }
            ColdChange::TurnedWarm => {
                log::info!(target: "share", backend = backend, incarnation = incarnation; "a backend server is warm again");
            }
        }
    }

    /// Whether the backend server names a limit, whether or not that admits a request now.
    pub fn has_limit(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether the limit that it names admits a request now.
    fn limit_admits(&mut self, now: Instant) -> bool {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= LIFT_DELAY;
        if self
            .limit
            .as_ref()
            .is_some_and(|l| l.lifted_at.is_some_and(is_over))
        {
            log::info!(target: "share", backend = self.report.id.as_str(); "the limit of a backend server is lifted");
            self.limit = None;
        }
        let limit = self.limit.as_mut();
        limit.is_none_or(|limit| limit.limiter.admits(now))
    }

    /// Counts a grant.
    pub fn add_grant(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.limiter.record(now);
        }
        self.cold.record_grant(now);
        self.unconfirmed += 1;
        self.granted += 1;
        self.peak_grants[0] = self.peak_grants[0].max(self.granted);
    }

    /// Records a crash under a run, unless it was known when the run was granted.
    ///
    /// Returns whether the crash is a new one.
    pub fn record_crash(&mut self, granted_at: Instant, now: Instant) -> bool {
        let is_new = self.is_after_crash(granted_at);
        if is_new {
            self.last_crash = Some(now);
            self.reachability.record_crash(now);
        }
        is_new
    }

    /// Records a response to a run; one that precedes a crash may be reported later.
    pub fn record_response(&mut self, granted_at: Instant) {
        if self.is_after_crash(granted_at) {
            self.reachability.record_response();
        }
    }

    fn is_after_crash(&self, granted_at: Instant) -> bool {
        self.last_crash.is_none_or(|crash| granted_at > crash)
    }

    /// Records that the request under a grant has arrived, or won't.
    pub fn confirm_grant(&mut self) {
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
    }

    /// Counts the end of a grant.
    pub fn remove_grant(&mut self) {
        self.granted = self.granted.saturating_sub(1);
    }

    /// How many of the prompt's prefixes, shortest first, are believed to be cached there.
    pub fn matching_prefixes(&self, prefixes: &[u64]) -> usize {
        let is_cached = |hash: &&u64| self.cached_prefixes.binary_search(hash).is_ok();
        prefixes.iter().take_while(is_cached).count()
    }

    /// Whether a report of the same incarnation is outdated or comes after its end.
    pub fn supersedes(&self, report: &BackendReport) -> bool {
        self.report.gone || report.sequence < self.report.sequence
    }

    /// Discards the cache estimates and the lease of an earlier incarnation.
    pub fn restart(&mut self, now: Instant, lease: Duration) {
        self.cached_prefixes.clear();
        self.engine.restart();
        self.pace.restart();
        // A router may name the limit of a backend server before the first report arrives.
        if self.report.incarnation > 0 {
            self.limit = None;
        }
        self.cold = ColdState::new(now);
        self.reachability.record_response();
        self.last_report = now.checked_sub(lease).unwrap_or(now);
    }

    /// Applies a newer report of the same incarnation or the first one of the next.
    pub fn renew(&mut self, report: BackendReport, now: Instant, max_prefixes: usize) {
        let report_time = report_time(&report, now);
        self.reachability.record_report(report_time);
        self.cold.apply_report(report.cold_ms, report_time);
        self.last_report = self.last_report.max(report_time);
        // Reports lag behind grants: only load above the recent peak of grants is external.
        let reported = report.running.saturating_add(report.waiting);
        let known = self.peak_grants[0]
            .max(self.peak_grants[1])
            .max(self.granted);
        self.external_load = reported.saturating_sub(known);
        self.peak_grants = [self.granted, self.peak_grants[0]];
        let since = self.externally_full_since.unwrap_or(now);
        self.update_prefixes(&report, max_prefixes);
        self.report = report;
        self.externally_full_since = self.is_externally_full().then_some(since);
    }

    fn update_prefixes(&mut self, report: &BackendReport, max_prefixes: usize) {
        for hash in &report.evicted {
            if let Ok(position) = self.cached_prefixes.binary_search(hash) {
                self.cached_prefixes.remove(position);
            }
        }
        for hash in &report.cached {
            if let Err(position) = self.cached_prefixes.binary_search(hash) {
                // Evictions may be lost, so the estimate is reset when it reaches the limit.
                if self.cached_prefixes.len() >= max_prefixes {
                    self.cached_prefixes.clear();
                }
                self.cached_prefixes
                    .insert(position.min(self.cached_prefixes.len()), *hash);
            }
        }
    }
}

/// When the backend server sent a report.
pub fn report_time(report: &BackendReport, now: Instant) -> Instant {
    let age = Duration::from_millis(report.age_ms.into());
    now.checked_sub(age).unwrap_or(now)
}
