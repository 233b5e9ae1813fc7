use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::backend_set::BackendSet;
use crate::backends::Backends;
use crate::cache_index::shared_parts;
use crate::crash_history::CrashHistory;
use crate::engine::PrefillRate;
use crate::ranking::EngineRanking;

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
    /// Whether the organisation is so far behind the others that its requests wait for no particular engine.
    pub is_far_behind: bool,
}

impl EngineSelector<'_> {
    /// Chooses the engine that would finish the prompt's prefill first, after its pending prefill.
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
        let candidates = self.candidates(eligible, ask, domain);
        let best = candidates.min_by_key(|index| self.prefill_time(*index, ask, domain, weight));
        let best = best.ok_or("waited for a free slot or memory")?;
        if self.is_far_behind || self.accepts_prefill(best) {
            Ok(best)
        } else {
            Err("waited for the best engine: it has enough pending prefill")
        }
    }

    /// Engines with the least pending prefill among all available ones, those that cache the first part,
    /// those that cache the first two parts, and so on.
    ///
    /// These suffice: among engines that cache equally much of the prompt, the least pending prefill is best.
    fn candidates<'s>(
        &'s self,
        eligible: &BackendSet,
        ask: &'s Ask,
        domain: &'s str,
    ) -> impl Iterator<Item = usize> + 's {
        let mut candidate_sets = vec![eligible.intersection(self.backends.available())];
        for part in shared_parts(ask) {
            let Some(caching) = self.backends.cache_index().engines(part) else {
                break;
            };
            let candidates = candidate_sets[candidate_sets.len() - 1].intersection(caching);
            if candidates.is_empty() {
                break;
            }
            candidate_sets.push(candidates);
        }
        let least_pending =
            move |candidates: BackendSet| self.least_pending(&candidates, ask, domain);
        candidate_sets.into_iter().flat_map(least_pending)
    }

    /// The engine with the least pending prefill that admits the request, and the first one in the router's
    /// failure domain if its pending prefill takes at most `REMOTE_DOMAIN_DELAY` longer.
    fn least_pending(
        &self,
        engines: &BackendSet,
        ask: &Ask,
        domain: &str,
    ) -> impl Iterator<Item = usize> + use<> {
        let remote_tokens = self.prefill_rate.tokens_in(REMOTE_DOMAIN_DELAY);
        let mut found: [Option<usize>; 2] = [None; 2];
        let mut max_pending = u64::MAX;
        for (pending, index) in self.ranking.order() {
            if pending > max_pending {
                break;
            }
            if !engines.contains(index) || !self.admits(index, ask) {
                continue;
            }
            max_pending = max_pending.min(pending + remote_tokens);
            found[0] = found[0].or(Some(index));
            if self.backends.get(index).report.domain == domain {
                found[1] = Some(index);
                break;
            }
        }
        found.into_iter().flatten()
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
    fn accepts_prefill(&self, index: usize) -> bool {
        self.prefill_rate
            .time_for(self.backends.get(index).engine.pending_prefill())
            <= self.max_pending_prefill
    }

    fn prefill_time(&self, index: usize, ask: &Ask, domain: &str, weight: u64) -> Duration {
        let backend = self.backends.get(index);
        let tokens =
            backend.engine.pending_prefill() + backend.engine.uncached_tokens(ask) * weight;
        let is_local = backend.report.domain == domain;
        self.prefill_rate.time_for(tokens)
            + if is_local {
                Duration::ZERO
            } else {
                REMOTE_DOMAIN_DELAY
            }
    }
}

/// Chooses an available backend server for a request among the eligible ones.
///
/// Cached prefixes and the router's failure domain offset the load; a wrong guess costs time only.
pub fn choose(
    backends: &Backends,
    crash_history: &CrashHistory,
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
        prefix_bonus + domain_bonus - i64::from(backend.load_percent())
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
