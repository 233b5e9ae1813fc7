//! A router with a fraction of a core whose callers bring more work than it can do, in virtual time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_router::{OverloadGuard, RequestPermit};
use jaylock_types::OrganisationId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Part of a core that the router may use.
const CPU_SHARE: f64 = 0.12;
/// Processor time for accepting and refusing a request.
const REFUSAL_COST: Duration = Duration::from_micros(150);
/// Processor time for the head of a request that is admitted.
const START_COST: Duration = Duration::from_micros(500);
/// Processor time for one event of a stream, and for each further one that is forwarded with it.
const EVENT_COST: Duration = Duration::from_micros(35);
const FURTHER_EVENT_COST: Duration = Duration::from_micros(8);
/// Events of a stream, and the time between two.
const EVENTS: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Longest delay of an event.
const EVENT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time between two measurements of the guard.
const MEASURE_INTERVAL: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted.
const BACKLOG: usize = 512;
/// Time after which a caller whose connection is not accepted chooses another router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Events of a long stream.
const MANY_EVENTS: u32 = 86;
/// Length of a play, and when its flood starts.
const PLAY_TIME: Duration = Duration::from_secs(20);
const FLOOD_START: Duration = Duration::from_secs(5);
/// Time in which an organisation that always waits must get at least half of what it could.
const FAIRNESS_WINDOW: Duration = Duration::from_secs(6);
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(1);
/// Requests a second of each calm organisation.
const CALM_RATE: f64 = 2.0;
const CALM_ORGANISATIONS: usize = 6;
/// Objective of a request, which most of the time of its first event must leave to the backend server.
const MAX_START_DELAY: Duration = Duration::from_millis(200);

/// A piece of work that waits for the processor.
struct Work {
    cost: Duration,
    queued_at: Instant,
    kind: Kind,
}

enum Kind {
    Arrival(usize),
    Events {
        organisation: usize,
        count: u32,
        left: u32,
        permit: Option<RequestPermit>,
    },
    Measurement {
        due: Instant,
    },
}

/// What the callers of each organisation got; the last organisation floods.
#[derive(Debug, Default)]
struct Outcome {
    admitted: Vec<usize>,
    refused: Vec<usize>,
    /// Times from the start at which requests were admitted.
    admitted_at: Vec<Duration>,
    /// Times for which callers of calm organisations waited until their connections were accepted, or gave up.
    accept_delays: Vec<Duration>,
    // Delays from arrival to admission, and of events.
    start_delays: Vec<Duration>,
    event_delays: Vec<Duration>,
    most_in_progress: usize,
}

impl Outcome {
    fn record_accept(&mut self, organisation: usize, delay: Duration) {
        if organisation < CALM_ORGANISATIONS {
            self.accept_delays.push(delay);
        }
    }

    /// The fewest requests that were admitted in a `FAIRNESS_WINDOW` of the flood.
    fn fewest_admitted(&self) -> usize {
        let starts = (0..).map(|n| FLOOD_START + Duration::from_secs(n));
        let windows = starts.take_while(|start| *start + FAIRNESS_WINDOW <= PLAY_TIME);
        let count = |start: Duration| {
            let is_in = |at: &&Duration| **at >= start && **at < start + FAIRNESS_WINDOW;
            self.admitted_at.iter().filter(is_in).count()
        };
        windows.map(count).min().unwrap_or(0)
    }
}

/// A router and its callers.
struct Play {
    guard: OverloadGuard,
    is_guarded: bool,
    /// Events of each stream.
    events: u32,
    rng: SmallRng,
    started: Instant,
    now: Instant,
    /// What waits for the processor, in the order of arrival.
    queue: VecDeque<Work>,
    /// Connections that are not accepted yet; more than `BACKLOG` are lost.
    backlog: VecDeque<(Instant, usize)>,
    timers: Vec<(Instant, Kind)>,
    in_progress: usize,
    /// Processor time that is left, in seconds; negative after long work.
    budget: f64,
    outcome: Outcome,
}

impl Play {
    fn new(is_guarded: bool) -> Self {
        let now = Instant::now();
        Self {
            guard: OverloadGuard::new(EVENT_TIMEOUT),
            is_guarded,
            events: EVENTS,
            rng: SmallRng::seed_from_u64(7),
            started: now,
            now,
            queue: VecDeque::new(),
            backlog: VecDeque::new(),
            timers: vec![(now, Kind::Measurement { due: now })],
            in_progress: 0,
            budget: 0.0,
            outcome: Outcome {
                admitted: vec![0; CALM_ORGANISATIONS + 1],
                refused: vec![0; CALM_ORGANISATIONS + 1],
                ..Outcome::default()
            },
        }
    }

    /// Plays `PLAY_TIME`; from `FLOOD_START` on, one organisation sends `flood` requests a second.
    fn run(mut self, flood: f64) -> Outcome {
        while self.now < self.started + PLAY_TIME {
            self.now += STEP;
            for organisation in 0..CALM_ORGANISATIONS {
                self.arrive(organisation, CALM_RATE);
            }
            if self.now > self.started + FLOOD_START {
                self.arrive(CALM_ORGANISATIONS, flood);
            }
            self.wake_timers();
            self.work();
        }
        self.outcome
    }

    fn arrive(&mut self, organisation: usize, rate: f64) {
        let expected = rate * STEP.as_secs_f64();
        let count = expected.floor() + f64::from(u8::from(self.rng.random_bool(expected.fract())));
        let mut arrived = 0.0;
        while arrived < count {
            arrived += 1.0;
            self.backlog.push_back((self.now, organisation));
        }
        for (_, organisation) in self.backlog.drain(BACKLOG.min(self.backlog.len())..) {
            self.outcome.record_accept(organisation, CONNECT_TIMEOUT);
        }
        // Callers leave when their connections are not accepted in time.
        while let Some((at, organisation)) = self.backlog.front()
            && self.now - *at > CONNECT_TIMEOUT
        {
            self.outcome.record_accept(*organisation, CONNECT_TIMEOUT);
            self.backlog.pop_front();
        }
    }

    /// Accepts connections as the server does: all that wait, unless they are deferred.
    fn accept(&mut self) {
        while !(self.is_guarded && self.guard.defers_connections()) {
            let Some((queued_at, organisation)) = self.backlog.pop_front() else {
                return;
            };
            self.outcome
                .record_accept(organisation, self.now - queued_at);
            self.guard.record_connection();
            self.queue.push_back(Work {
                cost: REFUSAL_COST,
                queued_at,
                kind: Kind::Arrival(organisation),
            });
        }
    }

    fn wake_timers(&mut self) {
        let now = self.now;
        let due = self.timers.extract_if(.., |(at, _)| *at <= now);
        for (queued_at, kind) in due {
            let cost = match kind {
                Kind::Events { count, .. } => EVENT_COST + FURTHER_EVENT_COST * (count - 1),
                Kind::Arrival(_) | Kind::Measurement { .. } => Duration::ZERO,
            };
            self.queue.push_back(Work {
                cost,
                queued_at,
                kind,
            });
        }
    }

    /// Works until the processor time of this step is over.
    fn work(&mut self) {
        self.budget += STEP.as_secs_f64() * CPU_SHARE;
        while self.budget > 0.0 {
            self.accept();
            let Some(work) = self.queue.pop_front() else {
                self.budget = 0.0;
                return;
            };
            self.budget -= work.cost.as_secs_f64();
            let delay = self.now - work.queued_at;
            match work.kind {
                Kind::Arrival(organisation) => self.admit(organisation, delay),
                Kind::Events {
                    organisation,
                    left,
                    permit,
                    ..
                } => self.forward_events(organisation, left, permit, delay),
                Kind::Measurement { due } => {
                    self.guard.record_delay(self.now - due, self.now);
                    let due = self.now + MEASURE_INTERVAL;
                    self.timers.push((due, Kind::Measurement { due }));
                }
            }
        }
    }

    fn admit(&mut self, organisation: usize, delay: Duration) {
        let id: OrganisationId = format!("o{organisation}").parse().expect("a name");
        let permit = self.is_guarded.then(|| self.guard.admit(&id));
        if let Some(None) = permit {
            self.outcome.refused[organisation] += 1;
            return;
        }
        self.budget -= START_COST.as_secs_f64();
        self.in_progress += 1;
        let outcome = &mut self.outcome;
        outcome.admitted[organisation] += 1;
        outcome.admitted_at.push(self.now - self.started);
        outcome.most_in_progress = outcome.most_in_progress.max(self.in_progress);
        if organisation < CALM_ORGANISATIONS {
            outcome.start_delays.push(delay);
        }
        self.schedule_events(organisation, self.events, permit.flatten());
    }

    fn forward_events(
        &mut self,
        organisation: usize,
        left: u32,
        permit: Option<RequestPermit>,
        delay: Duration,
    ) {
        if organisation < CALM_ORGANISATIONS {
            self.outcome.event_delays.push(delay);
        }
        if left > 0 {
            self.schedule_events(organisation, left, permit);
        } else {
            self.in_progress -= 1;
        }
    }

    /// Schedules the next event of a stream, with those that are forwarded together with it.
    fn schedule_events(&mut self, organisation: usize, left: u32, permit: Option<RequestPermit>) {
        let interval = self.guard.event_interval().max(EVENT_INTERVAL);
        let count = interval.div_duration_f64(EVENT_INTERVAL).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = (count as u32).min(left);
        let events = Kind::Events {
            organisation,
            count,
            left: left - count,
            permit,
        };
        self.timers
            .push((self.now + EVENT_INTERVAL * count, events));
    }
}

fn p99(mut delays: Vec<Duration>) -> Duration {
    delays.sort_unstable();
    delays[delays.len() * 99 / 100]
}

jaylock_tests::cases! {
    calm_organisations_are_served_in_time_beside_one_that_floods => {
        let outcome = Play::new(true).run(300.0);
        let calm = CALM_ORGANISATIONS;
        expect_that!(outcome.refused[..calm].iter().sum::<usize>(), eq(0));
        expect_that!(p99(outcome.start_delays), le(MAX_START_DELAY));
        expect_that!(p99(outcome.event_delays), le(MAX_START_DELAY));
        // The organisation that floods gets what is left: at least three tenths of what the processor could do alone.
        let possible = CPU_SHARE * 15.0 / (START_COST + EVENT_COST * EVENTS).as_secs_f64();
        #[allow(clippy::cast_precision_loss)]
        let admitted = outcome.admitted[calm] as f64;
        expect_that!(admitted, ge(possible * 0.3));
        expect_that!(outcome.most_in_progress, le(200));
    };

    refusals_leave_most_of_the_processor_to_requests => {
        for flood in [570.0, 1500.0, 3000.0] {
            let outcome = Play::new(true).run(flood);
            expect_that!(outcome.refused[..CALM_ORGANISATIONS].iter().sum::<usize>(), eq(0));
            let stream_cost = (START_COST + EVENT_COST * EVENTS).as_secs_f64();
            let possible = CPU_SHARE * 15.0 / stream_cost;
            #[allow(clippy::cast_precision_loss)]
            let admitted = outcome.admitted.iter().sum::<usize>() as f64;
            expect_that!(admitted, ge(possible * 0.5), "{flood} requests a second");
        }
    };

    router_serves_less_than_half_of_what_it_could_while_its_limit_falls => {
        for flood in [180.0, 380.0] {
            for events in [EVENTS, MANY_EVENTS] {
                let outcome = Play { events, ..Play::new(true) }.run(flood);
                let stream_cost = (START_COST + EVENT_COST * events).as_secs_f64();
                let possible = CPU_SHARE * FAIRNESS_WINDOW.as_secs_f64() / stream_cost;
                #[allow(clippy::cast_precision_loss)]
                let fewest = outcome.fewest_admitted() as f64;
                expect_that!(fewest, ge(possible * 0.5), "{flood} requests a second, {events} events");
            }
        }
    };

    connections_that_are_refused_later_are_accepted_beyond_the_bound_of_refusals => {
        for flood in [570.0, 1500.0, 3000.0] {
            let outcome = Play::new(true).run(flood);
            let admitted = outcome.admitted.iter().sum::<usize>();
            let refused = outcome.refused.iter().sum::<usize>();
            // Two for each admitted request and 250 a second, with those of one second at once.
            expect_that!(refused, le(2 * admitted + 250 * 16), "{flood} requests a second");
        }
    };

    callers_of_calm_organisations_wait_for_an_accept_behind_a_flood => {
        for flood in [300.0, 570.0, 1500.0, 3000.0] {
            let outcome = Play::new(true).run(flood);
            expect_that!(p99(outcome.accept_delays), le(MAX_START_DELAY), "{flood} requests a second");
        }
    };

    organisations_below_the_smallest_share_overload_a_router_together => {
        let guard = OverloadGuard::new(EVENT_TIMEOUT);
        let names = (0..40).map(|n| format!("o{n}").parse().expect("a name"));
        let names: Vec<OrganisationId> = names.collect();
        let (mut now, mut permits) = (Instant::now(), Vec::new());
        for _ in 0..100 {
            permits.extend(names.iter().filter_map(|name| guard.admit(name)));
            now += FLOOD_START;
            guard.record_delay(MAX_START_DELAY, now);
        }
        // Once each, while the limit is unknown, and up to twice the limit after that.
        expect_that!(permits.len(), le(80));
    };

    requests_are_late_without_the_guard => {
        let outcome = Play::new(false).run(300.0);
        expect_that!(p99(outcome.start_delays), gt(MAX_START_DELAY * 10));
    };

    no_request_is_refused_while_the_processor_has_time => {
        let outcome = Play::new(true).run(20.0);
        expect_that!(outcome.refused.iter().sum::<usize>(), eq(0));
    };

    suspended_process_refuses_no_request_a_second_later => {
        let guard = OverloadGuard::new(EVENT_TIMEOUT);
        let organisation: OrganisationId = "bench".parse().expect("a name");
        let permits: Vec<_> = (0..30).map(|_| guard.admit(&organisation)).collect();
        let mut now = Instant::now();
        guard.record_delay(Duration::from_secs(5), now);
        for _ in 0..100 {
            now += MEASURE_INTERVAL;
            guard.record_delay(Duration::ZERO, now);
        }
        expect_that!(guard.admit(&organisation).is_some(), eq(true));
        drop(permits);
    };
}
