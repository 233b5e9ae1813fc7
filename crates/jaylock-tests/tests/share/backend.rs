//! What a scheduler makes of backend servers' announcements.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::{Ask, BackendReport, Configuration, Drain, Hello, Running};
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, engine};

/// A request for a service without models.
fn plain_ask() -> Ask {
    Ask {
        model: String::new(),
        ..ask("bench")
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

    a_server_that_a_router_names_before_it_is_heard_is_used_once_it_is => {
        let mut fixture = Fixture::new();
        // A new scheduler: requests wait already, and a second router tells what runs.
        fixture.ask([plain_ask()]);
        let hello = Hello {
            router: "r2".into(),
            running: vec![Running { ticket: 1, organisation: "bench".into(), backend: "s1".into(), ..Running::default() }],
            ..Hello::default()
        };
        fixture.allocator.attach(&hello, fixture.now);
        let server = BackendReport { models: Vec::new(), ..engine("s1", 4) };
        assert_that!(fixture.report(server), eq(""));
        assert_that!(fixture.decide(), some(eq("s1")));
    };

    a_late_heartbeat_of_a_server_that_ended_before_it_was_heard_brings_it_not_back => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { gone: true, incarnation: 0, ..engine("e1", 4) });
        fixture.now += Duration::from_secs(2);
        fixture.report(engine("e1", 4));
        assert_that!(fixture.grant(ask("bench")), none());
        // Another instance had heard it before its end, which tells the start that has ended.
        fixture.report(BackendReport { age_ms: 3000, ..engine("e1", 4) });
        fixture.now += Duration::from_secs(20);
        fixture.report(engine("e1", 4));
        assert_that!(fixture.grant(ask("bench")), none());
    };

    a_server_that_ended_before_it_was_heard_is_used_when_it_starts_again => {
        let plain = BackendReport { models: Vec::new(), ..engine("s1", 4) };
        let ended = || {
            let mut fixture = Fixture::new();
            fixture.ask([plain_ask()]);
            fixture.report(BackendReport { gone: true, incarnation: 0, ..plain.clone() });
            fixture.now += Duration::from_millis(10);
            fixture
        };
        let mut known = ended();
        known.report(BackendReport { age_ms: 3000, ..plain.clone() });
        known.report(BackendReport { incarnation: 2, ..plain.clone() });
        assert_that!(known.decide(), some(eq("s1")));
        let mut unknown = ended();
        unknown.now += Duration::from_secs(10);
        unknown.report(plain.clone());
        unknown.ask([plain_ask()]);
        assert_that!(unknown.decide(), some(eq("s1")));
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

    a_report_that_sticks_does_not_keep_a_server_out_for_ever => {
        // It says that it is full, nothing was granted there, and it says so again and again.
        let mut fixture = Fixture::new();
        let stuck = || BackendReport { running: 4, ..engine("e1", 4) };
        fixture.report(stuck());
        assert_that!(fixture.grant(ask("bench")), none());
        let mut granted = None;
        for _ in 0..40 {
            fixture.now += Duration::from_millis(100);
            fixture.report(stuck());
            granted = granted.or(fixture.decide());
        }
        assert_that!(granted, some(eq("e1")));
        // One at a time, for it may really be full.
        assert_that!(fixture.grant(ask("bench")), none());
    };

    a_pool_with_room_refuses_nothing_after_a_time_of_need => {
        // One slot for two organisations, granted every 500 ms, teaches a long interval. Then there is room for all.
        let mut fixture = Fixture::new();
        fixture.report(engine("e1", 1));
        fixture.ask((0..24).map(|n| ask(["bench", "till"][n % 2])));
        for _ in 0..20 {
            let ticket = fixture.answers().0.first().expect("a grant").ticket;
            fixture.now += Duration::from_millis(500);
            fixture.report(engine("e1", 1));
            fixture.end(ticket);
        }
        fixture.report(engine("e2", 64));
        fixture.answers();
        fixture.ask((0..4).map(|_| Ask { objective_ms: 300, ..ask("bench") }));
        let (grants, refusals) = fixture.answers();
        assert_that!((grants.len(), refusals.len()), eq((4, 0)));
    };

    a_report_that_comes_late_changes_nothing => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { sequence: 5, leaving: true, ..engine("e1", 4) });
        fixture.report(BackendReport { sequence: 4, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), none());
        fixture.report(BackendReport { incarnation: 2, sequence: 1, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), some(eq("e1")));
    };

    a_report_that_is_told_again_does_not_renew_the_lease => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { age_ms: 2900, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), some(eq("e1")));
        fixture.now += Duration::from_millis(100);
        assert_that!(fixture.grant(ask("bench")), none());
    };

    a_server_that_has_ended_comes_back_with_a_new_start_only => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { sequence: 5, ..engine("e1", 4) });
        fixture.report(BackendReport { gone: true, incarnation: 0, sequence: 99, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), none());
        fixture.now += Duration::from_millis(500);
        fixture.report(BackendReport { sequence: 6, ..engine("e1", 4) });
        fixture.report(BackendReport { incarnation: 2, age_ms: 800, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), none());
        fixture.report(BackendReport { incarnation: 2, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), some(eq("e1")));
    };

    an_end_is_remembered_of_a_server_that_was_never_heard => {
        // A new scheduler hears of the end first, and then an older report from another instance.
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { gone: true, incarnation: 0, ..engine("e1", 4) });
        fixture.now += Duration::from_millis(200);
        fixture.report(BackendReport { age_ms: 700, ..engine("e1", 4) });
        assert_that!(fixture.grant(ask("bench")), none());
    };
}
