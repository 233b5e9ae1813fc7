//! When the turn of a waiting request comes.
//!
//! The loads: one organisation sends many times its usual load beside others of which one or two requests wait, so that it
//! gets nearly all turns; and a pool whose scheduler has just started, of which no grants are known. With an estimate
//! that is too long, requests are refused that would be served in time, while backend servers have nothing to do.

use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::admission::account::AccountKey;
use crate::scheduler::allocator::Allocator;

/// Time after which the weight of a grant has fallen to a third, so that the rate follows a loss of backend servers.
const MEMORY: Duration = Duration::from_millis(500);
/// Longest time between two decisions that counts, so that an outage does not dominate the rate.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Weight of the assumed rate, as a time in which it was observed.
const PRIOR_TIME: Duration = Duration::from_millis(50);
/// Assumed time of a call of a plain service, from which the rate of its slots follows before any grant was observed.
const ASSUMED_CALL_TIME: Duration = Duration::from_millis(100);
/// Longest time that is estimated.
const MAX_ESTIMATE: Duration = Duration::from_hours(1);

/// What a request costs in its turn: its prompt if it lists its parts, which is charged at the grant, and one for the request.
pub fn turn_cost(ask: &Ask) -> u64 {
    let prompt = if ask.parts.is_empty() {
        0
    } else {
        u64::from(ask.prompt_tokens)
    };
    prompt + 1
}

/// Costs granted a second while requests wait, weighted by age.
#[derive(Debug, Default)]
pub struct GrantRate {
    /// Time in which requests waited, in seconds.
    waited: f64,
    /// Costs granted in that time.
    granted: f64,
    /// Costs granted since the last decision ended.
    recent: f64,
    /// When the last decision ended, if requests waited then.
    decided_at: Option<Instant>,
}

impl GrantRate {
    /// Records the cost of a grant.
    pub fn record_grant(&mut self, cost: u64) {
        self.recent += to_f64(cost);
    }

    /// Records the end of a decision, and whether requests wait after it.
    ///
    /// What was granted to requests that did not have to wait tells nothing about the rate.
    pub fn record_decision(&mut self, has_backlog: bool, now: Instant) {
        let granted = std::mem::take(&mut self.recent);
        let before = self.decided_at.take();
        self.decided_at = has_backlog.then_some(now);
        let Some(before) = before else { return };
        let gap = now.saturating_duration_since(before).min(MAX_GAP);
        let weight = (-gap.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.waited = self.waited * weight + gap.as_secs_f64();
        self.granted = self.granted * weight + granted;
    }

    /// Time in which this cost is granted; `assumed` is the cost a second while little was observed.
    pub fn time_for(&self, cost: u64, assumed: f64) -> Duration {
        let prior = PRIOR_TIME.as_secs_f64();
        let rate = (self.granted + assumed * prior) / (self.waited + prior);
        let seconds = to_f64(cost) / rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_ESTIMATE.as_secs_f64()))
    }
}

/// What an organisation has waiting.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    pub cost: u64,
    pub weight: u32,
}

/// Costs that are granted until all that an organisation has waiting is, if organisations take turns by weighted service.
///
/// Another one takes turns only as long as it has something waiting.
pub fn cost_until_served(own: Waiting, others: impl Iterator<Item = Waiting>) -> u64 {
    let own_weight = u64::from(own.weight.max(1));
    let others = others.map(|other| {
        let equal_share = own.cost.saturating_mul(other.weight.into()) / own_weight;
        other.cost.min(equal_share)
    });
    own.cost.saturating_add(others.sum())
}

impl Allocator {
    /// Time until all that an organisation had waiting after the last decision is granted.
    pub(crate) fn expected_wait(&self, account: AccountKey, ask: &Ask) -> Duration {
        let cost = self.accounts.cost_until_served(account);
        self.grant_rate.time_for(cost, self.assumed_rate(ask))
    }

    /// Time between two turns of an organisation for requests like this one.
    pub(crate) fn turn_interval(&self, account: AccountKey, ask: &Ask) -> Duration {
        let own = turn_cost(ask);
        let waiting = self.accounts.get(account).waiting().cost;
        let all = own.saturating_mul(self.accounts.cost_until_served(account));
        let cost = all.checked_div(waiting).unwrap_or(own);
        self.grant_rate.time_for(cost, self.assumed_rate(ask))
    }

    /// Cost a second that the usable backend servers are assumed to take before any grant was observed.
    fn assumed_rate(&self, ask: &Ask) -> f64 {
        let second = Duration::from_secs(1);
        if ask.parts.is_empty() {
            let slots = self.backends.slots().all;
            f64::from(slots.max(1)) / ASSUMED_CALL_TIME.as_secs_f64()
        } else {
            let engines = self.usable_count().max(1);
            to_f64(self.prefill_rate.tokens_in(second).saturating_mul(engines))
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
