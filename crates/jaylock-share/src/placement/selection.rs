use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::backends::backend_set::BackendSet;
use crate::backends::list::Backends;
use crate::crashes::crash_history::CrashHistory;
use crate::placement::cache_index::shared_parts;
use crate::placement::engine::PrefillRate;
use crate::placement::ranking::EngineRanking;

/// Score of a cached prompt prefix, in percent of a backend server's slots.
const PREFIX_BONUS_PERCENT: i64 = 15;
/// Cached prefixes that add to the score.
const MAX_COUNTED_PREFIXES: usize = 4;
/// Score of being in the router's failure domain, in percent of a backend server's slots.
const DOMAIN_BONUS_PERCENT: i64 = 10;

/// Weight of a request's uncached token against a token of prefill that is pending before it.
const UNCACHED_WEIGHT: u64 = 3;
/// Prefill is no bottleneck while at least one in this many engines is idle.
const IDLE_DIVISOR: usize = 4;
/// Delay that is added for an engine in another failure domain.
const REMOTE_DOMAIN_DELAY: Duration = Duration::from_millis(10);

/// Selects a model engine for requests that list the parts of their prompts.
pub struct EngineSelector<'a> {
    pub backends: &'a Backends,
    pub crash_history: &'a CrashHistory,
    pub ranking: &'a EngineRanking,
    pub prefill_rate: &'a PrefillRate,
    /// Pending prefill, as a time, up to which an engine gets another request.
    pub max_pending_prefill: Duration,
    /// Whether engines that cache different parts of a prompt are compared by their own paces.
    pub repeats_by_pace: bool,
    /// Whether the organisation is so far behind the others that its requests wait for no particular engine.
    pub is_far_behind: bool,
}

impl EngineSelector<'_> {
    /// Chooses the engine that would finish the prompt's prefill first, after its pending prefill, each at its own pace.
    ///
    /// Returns `None` if the request should wait for the best engine.
    ///
    /// This is for loads in which prompts share most of their parts and prefill is the bottleneck:
    /// computing a part again then delays other requests, so uncached tokens weigh more, and a request
    /// waits while the best engine has enough pending prefill. While engines are idle, uncached tokens weigh no
    /// more than pending ones, so that popular parts are cached by several engines once one is too busy. If its
    /// organisation is far behind, a request doesn't wait at all.
    pub fn choose(&self, eligible: &BackendSet, ask: &Ask, domain: &str) -> Option<usize> {
        self.select(eligible, ask, domain).ok()
    }

    /// Like `choose`, or returns what the request waits for.
    pub fn select(
        &self,
        eligible: &BackendSet,
        ask: &Ask,
        domain: &str,
    ) -> Result<usize, &'static str> {
        let first = self.ranking.order().next();
        if first.is_none_or(|(_, index)| !self.accepts_prefill(index)) {
            return Err("waited for any engine: all have enough pending prefill");
        }
        let delays_others = !self.is_far_behind && !self.has_idle_engines(eligible);
        let weight = if delays_others { UNCACHED_WEIGHT } else { 1 };
        let (least_uncached, candidate_sets) = self.candidate_sets(eligible, ask);
        let tokens = WeightedTokens {
            weight,
            least_uncached,
        };
        let candidates = candidate_sets.into_iter().flat_map(|(uncached, engines)| {
            let tokens = tokens.of_engine(uncached);
            self.soonest(&engines, ask, domain, tokens)
        });
        let best = candidates.min_by_key(|index| self.prefill_time(*index, ask, domain, tokens));
        let best = best.ok_or("waited for a free slot or memory")?;
        if self.is_far_behind || self.accepts_prefill(best) {
            Ok(best)
        } else {
            Err("waited for the best engine: it has enough pending prefill")
        }
    }

    /// All available engines, those that cache the first part, those that cache the first two parts, and so on,
    /// each set with the uncached tokens of the prompt; and the least of these numbers.
    ///
    /// The soonest engine of each set suffices, as if all engines of a set cached equally much of the prompt.
    fn candidate_sets(&self, eligible: &BackendSet, ask: &Ask) -> (u64, Vec<(u64, BackendSet)>) {
        let mut uncached = u64::from(ask.prompt_tokens);
        let mut engines = eligible.intersection(self.backends.available());
        let mut sets = Vec::new();
        for (part, hash) in ask.parts.iter().zip(shared_parts(ask)) {
            let Some(caching) = self.backends.cache_index().engines(hash) else {
                break;
            };
            let caching = engines.intersection(caching);
            if caching.is_empty() {
                break;
            }
            sets.push((uncached, std::mem::replace(&mut engines, caching)));
            uncached = uncached.saturating_sub(part.tokens.into());
        }
        sets.push((uncached, engines));
        (uncached, sets)
    }

    /// The engine that admits the request and would be first to compute these tokens after its pending prefill,
    /// and the first one in the router's failure domain if that takes at most `REMOTE_DOMAIN_DELAY` longer.
    fn soonest(
        &self,
        engines: &BackendSet,
        ask: &Ask,
        domain: &str,
        tokens: u64,
    ) -> impl Iterator<Item = usize> + use<> {
        let remote_tokens = self.prefill_rate.tokens_in(REMOTE_DOMAIN_DELAY);
        let least_time = self.ranking.least_time(tokens);
        let mut best: Option<(u64, usize)> = None;
        let mut local: Option<(u64, usize)> = None;
        let is_better = |time: u64, other: Option<(u64, usize)>| other.is_none_or(|o| time < o.0);
        for (pending, index) in self.ranking.order() {
            // All engines that follow have at least this much pending prefill.
            let is_too_late = best.is_some_and(|b| pending + least_time > b.0 + remote_tokens);
            let is_decided = local.is_some_and(|l| pending + least_time >= l.0);
            if is_too_late || is_decided {
                break;
            }
            if !engines.contains(index) {
                continue;
            }
            let time = pending + self.ranking.scale(index, tokens);
            let is_local = self.backends.get(index).report.domain == domain;
            let is_best_local = is_local && is_better(time, local);
            if !(is_better(time, best) || is_best_local) || !self.admits(index, ask) {
                continue;
            }
            if is_better(time, best) {
                best = Some((time, index));
            }
            if is_best_local {
                local = Some((time, index));
            }
        }
        [best, local].into_iter().flatten().map(|(_, index)| index)
    }

    fn admits(&self, index: usize, ask: &Ask) -> bool {
        let backend = self.backends.get(index);
        !is_avoided(ask, &backend.report.id)
            && self.crash_history.admits(ask, index)
            && backend.engine.has_room(ask)
    }

    /// Whether enough engines are idle that computing a part again delays no other request.
    fn has_idle_engines(&self, eligible: &BackendSet) -> bool {
        let (all, idle) = self.ranking.count_usable_and_idle(self.backends, eligible);
        idle * IDLE_DIVISOR >= all
    }

    /// Whether the pending prefill of an engine is short enough for another request.
    pub fn accepts_prefill(&self, index: usize) -> bool {
        let pending = self.backends.get(index).engine.pending_prefill();
        self.accepts(self.ranking.scale(index, pending))
    }

    /// Whether this pending prefill, in tokens at the pool's pace, is short enough for another request.
    fn accepts(&self, pending: u64) -> bool {
        self.prefill_rate.time_for(pending) <= self.max_pending_prefill
    }

    /// Time until an engine would finish the prompt's prefill, with the weight of uncached tokens.
    ///
    /// Unless parts are computed again by pace, engines that cache different parts are compared at the pool's pace: a
    /// slowdown of a moment is over before a part that another engine computes again has paid off.
    fn prefill_time(
        &self,
        index: usize,
        ask: &Ask,
        domain: &str,
        tokens: WeightedTokens,
    ) -> Duration {
        let backend = self.backends.get(index);
        let uncached = backend.engine.uncached_tokens(ask);
        let at_engine = backend.engine.pending_prefill() + tokens.of_engine(uncached);
        let at_pace = if self.repeats_by_pace {
            self.ranking.scale(index, at_engine)
        } else {
            at_engine
        };
        let is_local = backend.report.domain == domain;
        self.prefill_rate
            .time_for(at_pace + tokens.of_any(uncached))
            + if is_local {
                Duration::ZERO
            } else {
                REMOTE_DOMAIN_DELAY
            }
    }
}

/// Weight of a request's uncached tokens.
///
/// The weight above 1 stands for the delay of other requests by tokens that another engine caches. What any
/// engine must compute of the prompt delays others at each of them, so that part of the weight depends on no
/// pace: else requests would wait for the fast engines while slow ones have nothing to do.
#[derive(Debug, Clone, Copy)]
struct WeightedTokens {
    weight: u64,
    /// Uncached tokens at the engines that cache the most of the prompt.
    least_uncached: u64,
}

impl WeightedTokens {
    /// Weighted tokens whose time depends on the engine's pace.
    fn of_engine(self, uncached: u64) -> u64 {
        let repeated = uncached.saturating_sub(self.least_uncached);
        uncached + repeated * (self.weight - 1)
    }

    /// Additional weight of the tokens that any engine must compute.
    fn of_any(self, uncached: u64) -> u64 {
        uncached.min(self.least_uncached) * (self.weight - 1)
    }
}

/// Chooses an available backend server for a request among the eligible ones.
///
/// Cached prefixes and the router's failure domain offset the load; a wrong guess costs time only. The load counts
/// as a time: a call takes up to twice as long at a backend server whose slots are all taken, times its own slowness.
/// This is for plain services whose backend servers differ: with six slots each at half of their load or less, a
/// slow one would get a call whenever the fast ones run one more.
pub fn choose(
    backends: &Backends,
    crash_history: &CrashHistory,
    ranking: &EngineRanking,
    eligible: &BackendSet,
    ask: &Ask,
    domain: &str,
) -> Option<usize> {
    let is_allowed = |index: &usize| {
        let is_avoided = is_avoided(ask, &backends.get(*index).report.id);
        !is_avoided && crash_history.admits(ask, *index)
    };
    let score = |index: &usize| {
        let backend = backends.get(*index);
        let matching_prefixes = backend
            .matching_prefixes(&ask.prefixes)
            .min(MAX_COUNTED_PREFIXES);
        let prefix_bonus = i64::try_from(matching_prefixes).unwrap_or(0) * PREFIX_BONUS_PERCENT;
        let domain_bonus = if backend.report.domain == domain {
            DOMAIN_BONUS_PERCENT
        } else {
            0
        };
        let time = ranking.scale(*index, 100 + u64::from(backend.load_percent()));
        prefix_bonus + domain_bonus - i64::try_from(time).unwrap_or(i64::MAX / 2)
    };
    eligible
        .common(backends.available())
        .filter(is_allowed)
        .max_by_key(score)
}

/// Chooses the least loaded usable backend server, which an isolated request waits for.
pub fn choose_isolated(
    backends: &Backends,
    crash_history: &CrashHistory,
    eligible: &BackendSet,
    ask: &Ask,
    now: Instant,
    lease: Duration,
) -> Option<usize> {
    let is_usable = |index: &usize| {
        let backend = backends.get(*index);
        !backend.is_reserved
            && backend.unusable_reason(now, lease).is_empty()
            && !is_avoided(ask, &backend.report.id)
            && crash_history.admits(ask, *index)
    };
    let indices = eligible.common(eligible).filter(is_usable);
    indices.min_by_key(|index| backends.get(*index).load_percent())
}

pub fn is_avoided(ask: &Ask, backend: &str) -> bool {
    ask.avoid.iter().any(|avoided| avoided == backend)
}
