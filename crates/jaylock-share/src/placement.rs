use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::backend::{BackendSet, Backends};
use crate::cache_index::shared_parts;
use crate::duplicates::Duplicates;
use crate::engine::PrefillRate;
use crate::ranking::EngineRanking;

/// Worth of a prompt prefix that is held, in hundredths of a backend server's slots.
const PREFIX_BONUS_PERCENT: i64 = 15;
/// Prefixes beyond which a longer match is worth no more.
const MAX_COUNTED_PREFIXES: usize = 4;
/// Worth of standing in the router's failure domain, in hundredths of a backend server's slots.
const DOMAIN_BONUS_PERCENT: i64 = 10;

/// Weight of a token that an engine has to read for a request against one that it has to read before.
const UNCACHED_WEIGHT: u64 = 3;
/// Part of the engines that must be idle for reading to be no bottleneck, as a divisor.
const IDLE_DIVISOR: usize = 4;
/// Time by which an engine in another failure domain counts as slower.
const REMOTE_DOMAIN_DELAY: Duration = Duration::from_millis(10);

/// What a choice among model engines goes by.
pub struct EngineSelector<'a> {
    pub backends: &'a Backends,
    pub duplicates: &'a Duplicates,
    pub ranking: &'a EngineRanking,
    pub prefill_rate: &'a PrefillRate,
    /// Reading that an engine may have before it.
    pub max_backlog: Duration,
    /// Whether the organisation is so far behind the others that it waits for no engine.
    pub is_far_behind: bool,
}

impl EngineSelector<'_> {
    /// Chooses the engine that would have read the prompt first: what it has to read already, and
    /// the parts that it does not keep.
    ///
    /// For loads in which most of a prompt is shared with others and reading is what engines are short
    /// of: there, parts that are read once more keep others waiting and count more, and a request waits
    /// while the best engine has enough to read. While engines are idle, or its organisation is far
    /// behind, it goes to another at once, so that what many ask about is soon kept by several.
    pub fn choose(&self, eligible: &BackendSet, ask: &Ask, domain: &str) -> Option<usize> {
        let (_, first) = self.ranking.order().next()?;
        if !self.accepts_prefill(first) {
            return None;
        }
        let is_eager = self.is_far_behind || self.has_idle_engines(eligible);
        let weight = if is_eager { 1 } else { UNCACHED_WEIGHT };
        let candidates = self.candidates(eligible, ask, domain, is_eager);
        let best = candidates.min_by_key(|index| self.prefill_time(*index, ask, domain, weight))?;
        self.accepts_prefill(best).then_some(best)
    }

    /// The soonest engine among all that are open, among those that keep the first part, the first two, and so on.
    ///
    /// Of engines that keep as much of the prompt, the one with the least to read is the best, so these are enough.
    fn candidates<'s>(
        &'s self,
        eligible: &BackendSet,
        ask: &'s Ask,
        domain: &'s str,
        is_eager: bool,
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
        let shortest_backlog =
            move |candidates: BackendSet| self.shortest_backlog(&candidates, ask, domain, is_eager);
        candidate_sets.into_iter().flat_map(shortest_backlog)
    }

    /// The first of some engines that would take the request, and the first one in the router's failure domain if it
    /// is no later than the way to another failure domain takes.
    fn shortest_backlog(
        &self,
        engines: &BackendSet,
        ask: &Ask,
        domain: &str,
        is_eager: bool,
    ) -> impl Iterator<Item = usize> + use<> {
        let remote_tokens = self.prefill_rate.tokens_in(REMOTE_DOMAIN_DELAY);
        let mut found: [Option<usize>; 2] = [None; 2];
        let mut max_pending = u64::MAX;
        for (pending, index) in self.ranking.order() {
            if pending > max_pending || (is_eager && !self.accepts_prefill(index)) {
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
            && self.duplicates.admits(ask.fingerprint, index)
            && backend.engine.has_room(ask)
    }

    /// Whether so many engines have nothing to read that reading a part once more costs nobody anything.
    fn has_idle_engines(&self, eligible: &BackendSet) -> bool {
        let (all, idle) = self.ranking.count_idle(self.backends, eligible);
        idle * IDLE_DIVISOR >= all
    }

    /// Whether an engine may be given more to read.
    fn accepts_prefill(&self, index: usize) -> bool {
        self.prefill_rate
            .time_for(self.backends.get(index).engine.pending_prefill())
            <= self.max_backlog
    }

    fn prefill_time(&self, index: usize, ask: &Ask, domain: &str, weight: u64) -> Duration {
        let backend = self.backends.get(index);
        let tokens =
            backend.engine.pending_prefill() + backend.engine.uncached_tokens(ask) * weight;
        let near = backend.report.domain == domain;
        self.prefill_rate.time_for(tokens)
            + if near {
                Duration::ZERO
            } else {
                REMOTE_DOMAIN_DELAY
            }
    }
}

/// Chooses the backend server for a request among those that meet its demand and have room.
///
/// A held prefix and a near failure domain count against the load; a wrong guess costs time only.
pub fn choose(
    backends: &Backends,
    duplicates: &Duplicates,
    eligible: &BackendSet,
    ask: &Ask,
    domain: &str,
) -> Option<usize> {
    let allowed = |index: &usize| {
        let is_avoided = is_avoided(ask, &backends.get(*index).report.id);
        !is_avoided && duplicates.admits(ask.fingerprint, *index)
    };
    let score = |index: &usize| {
        let backend = backends.get(*index);
        let matching_prefixes = backend
            .matching_prefixes(&ask.prefixes)
            .min(MAX_COUNTED_PREFIXES);
        let prefix = i64::try_from(matching_prefixes).unwrap_or(0) * PREFIX_BONUS_PERCENT;
        let near = if backend.report.domain == domain {
            DOMAIN_BONUS_PERCENT
        } else {
            0
        };
        prefix + near - i64::from(backend.load_percent())
    };
    eligible
        .common(backends.available())
        .filter(allowed)
        .max_by_key(score)
}

/// Chooses the backend server that a request which must run alone waits for: the least busy one.
pub fn choose_isolated(
    backends: &Backends,
    eligible: &BackendSet,
    ask: &Ask,
    now: Instant,
    lease: Duration,
) -> Option<usize> {
    let usable = |index: &usize| {
        let backend = backends.get(*index);
        !backend.is_reserved
            && backend.unusable_reason(now, lease).is_empty()
            && !is_avoided(ask, &backend.report.id)
    };
    let indices = eligible.common(eligible).filter(usable);
    indices.min_by_key(|index| backends.get(*index).load_percent())
}

fn is_avoided(ask: &Ask, backend: &str) -> bool {
    ask.avoid.iter().any(|avoided| avoided == backend)
}
