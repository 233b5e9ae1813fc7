//! What a scheduler makes of backend servers' announcements.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_rpc::v1::{Ask, BackendReport, Configuration, Drain, Hello, RouterFrame};
use jaylock_share::{Allocator, RouterKey, ShareSettings};
use jaylock_tests::cases;

use crate::fleet::{ask, end, engine};

struct Fixture {
    allocator: Allocator,
    router: RouterKey,
    now: Instant,
    tickets: u64,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let settings = ShareSettings::default();
        let mut allocator = Allocator::new("chat", 1, settings.clone(), now);
        let router = allocator.attach(
            &Hello {
                router: "r1".into(),
                ..Hello::default()
            },
            now,
        );
        Self {
            allocator,
            router,
            now: now + settings.settling,
            tickets: 0,
        }
    }

    /// Takes a report and returns what the backend server is told.
    fn report(&mut self, report: BackendReport) -> String {
        let frame = RouterFrame {
            backends: vec![report],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
        let mut frames = self.allocator.frames(self.now);
        let frame = frames.pop().expect("a frame").1;
        frame
            .verdicts
            .into_iter()
            .next()
            .expect("a verdict")
            .refused
    }

    fn end(&mut self, ticket: u64) {
        let frame = RouterFrame {
            ends: vec![end(ticket, 20)],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
    }

    /// Asks for a slot; the name of the backend server, when one is granted at once.
    fn grant(&mut self, ask: Ask) -> Option<String> {
        self.tickets += 1;
        let ask = Ask {
            ticket: self.tickets,
            ..ask
        };
        let frame = RouterFrame {
            asks: vec![ask],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
        self.allocator.tick(self.now);
        self.allocator.decide(self.now);
        let frames = self.allocator.frames(self.now);
        let grants = frames.into_iter().flat_map(|(_, frame)| frame.grants);
        grants.map(|grant| grant.backend).next()
    }
}

cases! {
    a_leaving_backend_server_gets_nothing_new => {
        let mut fixture = Fixture::new();
        fixture.report(engine("e1", 4));
        assert_that!(fixture.grant(ask("bench")), some(eq("e1")));
        fixture.report(BackendReport { leaving: true, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), none());
    };

    a_backend_server_that_is_not_heard_gets_nothing_new => {
        let mut fixture = Fixture::new();
        fixture.report(engine("e1", 4));
        fixture.now += Duration::from_millis(2900);
        assert_that!(fixture.grant(ask("bench")), some(eq("e1")));
        fixture.now += Duration::from_millis(100);
        assert_that!(fixture.grant(ask("bench")), none());
    };

    a_drained_backend_server_gets_nothing_new => {
        let mut fixture = Fixture::new();
        fixture.report(engine("e1", 4));
        let drains = vec![Drain { backend: "e1".into() }];
        let configuration = Configuration { drains, ..Configuration::default() };
        fixture.allocator.configure(&configuration, fixture.now);
        assert_that!(fixture.grant(ask("bench")), none());
        fixture.allocator.configure(&Configuration::default(), fixture.now);
        assert_that!(fixture.grant(ask("bench")), some(eq("e1")));
    };

    a_drained_backend_server_that_announces_itself_later_gets_nothing => {
        let mut fixture = Fixture::new();
        let drains = vec![Drain { backend: "e1".into() }];
        let configuration = Configuration { drains, ..Configuration::default() };
        fixture.allocator.configure(&configuration, fixture.now);
        fixture.report(engine("e1", 4));
        assert_that!(fixture.grant(ask("bench")), none());
    };

    another_server_under_the_same_name_is_refused_while_the_lease_lives => {
        let mut fixture = Fixture::new();
        let other = || BackendReport { token_hash: vec![2], ..engine("e1", 4) };
        let first = BackendReport { token_hash: vec![1], ..engine("e1", 4) };
        assert_that!(fixture.report(first), eq(""));
        assert_that!(fixture.report(other()), not(eq("")));
        fixture.now += Duration::from_secs(3);
        assert_that!(fixture.report(other()), eq(""));
    };

    an_older_start_of_a_server_is_refused => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { incarnation: 2, ..engine("e1", 4) });
        assert_that!(fixture.report(engine("e1", 4)), not(eq("")));
    };

    model_version_and_adapter_decide_where_a_request_may_run => {
        let mut fixture = Fixture::new();
        let mut report = engine("e1", 4);
        report.models[0].adapters = vec!["zarqa".into()];
        fixture.report(report);
        let fitting = Ask { version: "1".into(), adapter: "zarqa".into(), ..ask("bench") };
        let version = Ask { version: "2".into(), ..ask("till") };
        let adapter = Ask { adapter: "irbid".into(), ..ask("till") };
        assert_that!(fixture.grant(fitting), some(eq("e1")));
        assert_that!(fixture.grant(version), none());
        assert_that!(fixture.grant(adapter), none());
    };

    a_held_prefix_draws_a_request_and_an_evicted_one_does_not => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { cached: vec![7], ..engine("e1", 8) });
        fixture.report(engine("e2", 8));
        let prompt = || Ask { prefixes: vec![7], ..ask("bench") };
        assert_that!(fixture.grant(prompt()), some(eq("e1")));
        fixture.report(BackendReport { evicted: vec![7], ..engine("e1", 8) });
        assert_that!(fixture.grant(prompt()), some(eq("e2")));
    };

    load_of_others_takes_slots_but_a_late_report_of_our_own_does_not => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { running: 2, ..engine("e1", 2) });
        assert_that!(fixture.grant(ask("bench")), none());
        fixture.report(engine("e1", 2));
        fixture.allocator.decide(fixture.now);
        fixture.allocator.frames(fixture.now);
        fixture.end(1);
        // The run that has ended still shows in the next report.
        fixture.report(BackendReport { running: 1, ..engine("e1", 1) });
        assert_that!(fixture.grant(ask("till")), some(eq("e1")));
    };
}
