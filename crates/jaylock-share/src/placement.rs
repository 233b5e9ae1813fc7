use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::backend::{BackendSet, Backends};
use crate::engine::ReadingPace;
use crate::holders::shared_parts;
use crate::survey::Survey;
use crate::twins::Twins;

/// Worth of a prompt prefix that is held, in hundredths of a backend server's slots.
const PREFIX_WORTH: i64 = 15;
/// Prefixes beyond which a longer match is worth no more.
const MOST_PREFIXES: usize = 4;
/// Worth of standing in the router's failure domain, in hundredths of a backend server's slots.
const DOMAIN_WORTH: i64 = 10;

/// Weight of a token that an engine has to read for a request against one that it has to read before.
const MISSING_WEIGHT: u64 = 3;
/// Part of the engines that must be idle for reading to be no bottleneck, as a divisor.
const SPARE_PART: usize = 4;
/// Time by which an engine in another failure domain counts as slower.
const FAR_DELAY: Duration = Duration::from_millis(10);

/// What a choice among model engines goes by.
pub struct Engines<'a> {
    pub backends: &'a Backends,
    pub twins: &'a Twins,
    pub survey: &'a Survey,
    pub pace: &'a ReadingPace,
    /// Reading that an engine may have before it.
    pub ahead: Duration,
    /// Whether the organisation is so far behind the others that it waits for no engine.
    pub is_behind: bool,
}

impl Engines<'_> {
    /// Chooses the engine that would have read the prompt first: what it has to read already, and
    /// the parts that it does not keep.
    ///
    /// For loads in which most of a prompt is shared with others and reading is what engines are short
    /// of: there, parts that are read once more keep others waiting and count more, and a request waits
    /// while the best engine has enough to read. While engines are idle, or its organisation is far
    /// behind, it goes to another at once, so that what many ask about is soon kept by several.
    pub fn choose(&self, meeting: &BackendSet, ask: &Ask, domain: &str) -> Option<usize> {
        let (_, first) = self.survey.order().next()?;
        if !self.fits(first) {
            return None;
        }
        let is_eager = self.is_behind || self.has_spare(meeting);
        let weight = if is_eager { 1 } else { MISSING_WEIGHT };
        let candidates = self.candidates(meeting, ask, domain, is_eager);
        let best = candidates.min_by_key(|place| self.time(*place, ask, domain, weight))?;
        self.fits(best).then_some(best)
    }

    /// The soonest engine among all that are open, among those that keep the first part, the first two, and so on.
    ///
    /// Of engines that keep as much of the prompt, the one with the least to read is the best, so these are enough.
    fn candidates<'s>(
        &'s self,
        meeting: &BackendSet,
        ask: &'s Ask,
        domain: &'s str,
        is_eager: bool,
    ) -> impl Iterator<Item = usize> + 's {
        let mut levels = vec![meeting.intersection(self.backends.open())];
        for part in shared_parts(ask) {
            let Some(holders) = self.backends.holders().of(part) else {
                break;
            };
            let level = levels[levels.len() - 1].intersection(holders);
            if level.is_empty() {
                break;
            }
            levels.push(level);
        }
        let soonest = move |level: BackendSet| self.soonest(&level, ask, domain, is_eager);
        levels.into_iter().flat_map(soonest)
    }

    /// The first of some engines that would take the request, and the first one in the router's failure domain if it
    /// is no later than the way to another failure domain takes.
    fn soonest(
        &self,
        some: &BackendSet,
        ask: &Ask,
        domain: &str,
        is_eager: bool,
    ) -> impl Iterator<Item = usize> + use<> {
        let far = self.pace.tokens(FAR_DELAY);
        let mut found: [Option<usize>; 2] = [None; 2];
        let mut longest = u64::MAX;
        for (unread, place) in self.survey.order() {
            if unread > longest || (is_eager && !self.fits(place)) {
                break;
            }
            if !some.contains(place) || !self.admits(place, ask) {
                continue;
            }
            longest = longest.min(unread + far);
            found[0] = found[0].or(Some(place));
            if self.backends.get(place).report.domain == domain {
                found[1] = Some(place);
                break;
            }
        }
        found.into_iter().flatten()
    }

    fn admits(&self, place: usize, ask: &Ask) -> bool {
        let backend = self.backends.get(place);
        !is_avoided(ask, &backend.report.id)
            && self.twins.admits(ask.fingerprint, place)
            && backend.engine.has_room(ask)
    }

    /// Whether so many engines have nothing to read that reading a part once more costs nobody anything.
    fn has_spare(&self, meeting: &BackendSet) -> bool {
        let (all, idle) = self.survey.count(self.backends, meeting);
        idle * SPARE_PART >= all
    }

    /// Whether an engine may be given more to read.
    fn fits(&self, place: usize) -> bool {
        self.pace.time(self.backends.get(place).engine.unread()) <= self.ahead
    }

    fn time(&self, place: usize, ask: &Ask, domain: &str, weight: u64) -> Duration {
        let backend = self.backends.get(place);
        let tokens = backend.engine.unread() + backend.engine.missing(ask) * weight;
        let near = backend.report.domain == domain;
        self.pace.time(tokens) + if near { Duration::ZERO } else { FAR_DELAY }
    }
}

/// Chooses the backend server for a request among those that meet its demand and have room.
///
/// A held prefix and a near failure domain count against the load; a wrong guess costs time only.
pub fn choose(
    backends: &Backends,
    twins: &Twins,
    meeting: &BackendSet,
    ask: &Ask,
    domain: &str,
) -> Option<usize> {
    let allowed = |place: &usize| {
        let is_avoided = is_avoided(ask, &backends.get(*place).report.id);
        !is_avoided && twins.admits(ask.fingerprint, *place)
    };
    let worth = |place: &usize| {
        let backend = backends.get(*place);
        let matched = backend.matched(&ask.prefixes).min(MOST_PREFIXES);
        let prefix = i64::try_from(matched).unwrap_or(0) * PREFIX_WORTH;
        let near = if backend.report.domain == domain {
            DOMAIN_WORTH
        } else {
            0
        };
        prefix + near - i64::from(backend.load())
    };
    meeting
        .common(backends.open())
        .filter(allowed)
        .max_by_key(worth)
}

/// Chooses the backend server that a request which must run alone waits for: the least busy one.
pub fn choose_alone(
    backends: &Backends,
    meeting: &BackendSet,
    ask: &Ask,
    now: Instant,
    lease: Duration,
) -> Option<usize> {
    let usable = |place: &usize| {
        let backend = backends.get(*place);
        !backend.reserved
            && backend.state(now, lease).is_empty()
            && !is_avoided(ask, &backend.report.id)
    };
    let places = meeting.common(meeting).filter(usable);
    places.min_by_key(|place| backends.get(*place).load())
}

fn is_avoided(ask: &Ask, backend: &str) -> bool {
    ask.avoid.iter().any(|avoided| avoided == backend)
}
