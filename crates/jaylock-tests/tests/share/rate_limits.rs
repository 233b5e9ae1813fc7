//! Tests of the rates of requests that backend servers take from all routers together.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::{Configuration, Hello, RateLimit, RouterFrame};
use jaylock_share::{ClientState, SchedulerClientSettings};
use jaylock_tests::cases;
use jaylock_types::{Notice, RequestRate};

use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router, engine_report};

/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(10);
/// Time between two reports of the backend server.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Requests that wait before each decision.
const WAITING: usize = 10;
/// Limit that the backend server names, in requests a second.
const LIMIT: RequestRate = RequestRate { milli: 3000 };

/// A backend server under more requests than it takes, in virtual time.
struct Server {
    fixture: Fixture,
    waiting: usize,
    running: Vec<u64>,
    /// When requests were granted.
    grants: Vec<Instant>,
}

impl Server {
    fn new() -> Self {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 64));
        Self {
            fixture,
            waiting: 0,
            running: Vec::new(),
            grants: Vec::new(),
        }
    }

    /// Names a limit, or none any more, in a response to the router.
    fn name(&mut self, rate: Option<RequestRate>) {
        let frame = RouterFrame {
            limits: vec![limit(rate)],
            ..RouterFrame::default()
        };
        let Fixture {
            allocator,
            router,
            now,
            ..
        } = &mut self.fixture;
        allocator.apply(*router, frame, *now);
    }

    /// Runs for a time in which ten requests wait at any moment; returns the number of grants.
    fn run(&mut self, time: Duration) -> usize {
        let (before, start) = (self.grants.len(), self.fixture.now);
        let mut next_report = start;
        while self.fixture.now < start + time {
            self.fixture.now += STEP;
            if self.fixture.now >= next_report {
                next_report += REPORT_INTERVAL;
                self.fixture.report(engine_report("e1", 64));
            }
            for ticket in std::mem::take(&mut self.running) {
                self.fixture.end(ticket);
            }
            let missing = WAITING - self.waiting;
            self.fixture.ask(vec![ask("bench"); missing]);
            let (grants, refusals) = self.fixture.decide_all();
            self.waiting = WAITING - grants.len() - refusals.len();
            self.running = grants.iter().map(|grant| grant.ticket).collect();
            let now = self.fixture.now;
            self.grants.extend(grants.iter().map(|_| now));
        }
        self.grants.len() - before
    }
}

fn limit(rate: Option<RequestRate>) -> RateLimit {
    RateLimit {
        backend: "e1".into(),
        rate_milli: rate.map(|rate| rate.milli),
    }
}

fn named(rate: RequestRate) -> Notice {
    Notice {
        limit: Some(rate),
        ..Notice::default()
    }
}

cases! {
    limited_backend_server_gets_too_many_requests_or_too_few => {
        let mut server = Server::new();
        server.name(Some(LIMIT));
        assert_that!(server.run(Duration::from_secs(20)), all!(ge(57), le(62)));
    };
    new_scheduler_does_not_know_a_limit => {
        let mut server = Server::new();
        server.name(Some(LIMIT));
        server.run(Duration::from_secs(5));
        server.running.clear();
        server.waiting = 0;
        server.fixture.replace_scheduler(&Hello { router: "r1".into(), ..Hello::default() });
        server.name(Some(LIMIT));
        assert_that!(server.run(Duration::from_secs(20)), all!(ge(57), le(62)));
    };
    router_does_not_tell_a_new_scheduler_of_a_limit => {
        let now = Instant::now();
        let mut state = ClientState::new(SchedulerClientSettings::default());
        state.report_notice("e1", 1, &named(LIMIT), 1.0, now);
        let frame = state.first_frame(Hello::default(), now);
        assert_that!(frame.limits, elements_are![eq(&limit(Some(LIMIT)))]);
    };
    response_from_before_a_limit_lifts_it => {
        let mut server = Server::new();
        server.name(Some(LIMIT));
        server.run(Duration::from_secs(4));
        for _ in 0..10 {
            server.name(None);
            assert_that!(server.run(Duration::from_millis(300)), le(2));
            server.name(Some(LIMIT));
        }
    };
    limit_outlasts_the_responses_that_name_it => {
        let mut server = Server::new();
        server.name(Some(LIMIT));
        server.run(Duration::from_secs(4));
        server.name(None);
        server.run(Duration::from_secs(2));
        assert_that!(server.run(Duration::from_secs(1)), ge(50));
    };
    limit_of_zero_is_never_lifted => {
        let mut server = Server::new();
        server.name(Some(RequestRate { milli: 0 }));
        assert_that!(server.run(Duration::from_secs(40)), all!(ge(9), le(11)));
    };
    limit_outlasts_a_restart => {
        let mut server = Server::new();
        server.name(Some(LIMIT));
        server.run(Duration::from_secs(4));
        let mut report = engine_report("e1", 64);
        report.incarnation = 2;
        server.fixture.now += STEP;
        server.fixture.report(report);
        let granted = server.fixture.decide_all().0.len();
        assert_that!(granted, ge(5));
    };
    router_without_a_scheduler_exceeds_its_share_of_a_limit => {
        let mut now = Instant::now();
        let mut state = detached_router(&["e1"], now);
        state.report_notice("e1", 1, &named(LIMIT), 0.5, now);
        let mut granted = 0;
        let mut receivers = Vec::new();
        for ticket in 1..=2000 {
            let (sender, receiver) = oneshot::channel();
            state.request_slot(jaylock_rpc::v1::Ask { ticket, ..ask("bench") }, sender, now);
            receivers.push(receiver);
            now += STEP;
            state.grant_locally(&Configuration::default(), now);
            receivers.retain_mut(|receiver| {
                let is_granted = receiver.try_recv().is_ok_and(|reply| reply.is_some_and(|r| r.is_ok()));
                granted += usize::from(is_granted);
                !is_granted
            });
        }
        // 20 s at half of the limit.
        assert_that!(granted, all!(ge(27), le(32)));
    };
}
