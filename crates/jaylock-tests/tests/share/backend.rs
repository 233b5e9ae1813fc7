//! Tests of a scheduler's state of backend servers: reports, leases, drains and ends.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, BackendReport, Configuration, Drain, Hello, Instance, Running};
use jaylock_tests::cases;

use crate::fixture::Fixture;
use crate::fleet::{ask, engine_report};

/// A request for a service that has no models.
fn plain_ask() -> Ask {
    Ask {
        model: String::new(),
        ..ask("bench")
    }
}

cases! {
    leaving_backend_server_gets_no_requests => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
        fixture.report(BackendReport { leaving: true, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    backend_server_gets_no_requests_after_its_lease => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        fixture.now += Duration::from_millis(2900);
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
        fixture.now += Duration::from_millis(100);
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    unreachable_backend_server_gets_no_requests_until_its_next_report => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        let ticket = fixture.ask([ask("bench")])[0];
        assert_that!(fixture.decide(), some(eq("e1")));
        fixture.end_unreached(ticket);
        fixture.now += Duration::from_millis(400);
        // A report that was sent before the failure doesn't count.
        fixture.report(BackendReport { age_ms: 500, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.decide(), some(eq("e1")));
    };

    backend_server_that_one_of_several_routers_reaches_gets_requests => {
        let mut fixture = Fixture::new();
        for router in ["r2", "r3", "r4"] {
            let hello = Hello { router: router.into(), ..Hello::default() };
            fixture.allocator.attach(&hello, fixture.now);
        }
        fixture.report(engine_report("e1", 4));
        for _ in 0..10 {
            let ticket = fixture.ask([ask("bench")])[0];
            assert_that!(fixture.decide(), some(eq("e1")));
            fixture.end_unreached(ticket);
        }
    };

    crashed_backend_server_attracts_requests_while_it_starts_again => {
        let mut fixture = Fixture::new();
        for router in ["r2", "r3", "r4"] {
            let hello = Hello { router: router.into(), ..Hello::default() };
            fixture.allocator.attach(&hello, fixture.now);
        }
        fixture.report(engine_report("e1", 4));
        let tickets = fixture.ask([ask("bench"), ask("bench")]);
        assert_that!(fixture.decide(), some(eq("e1")));
        fixture.end_as(tickets[0], Outcome::Crashed);
        // Progress that another router reports late was made before the crash.
        fixture.report_progress(tickets[1], 20);
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.now += Duration::from_millis(400);
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.decide(), some(eq("e1")));
    };

    backend_server_named_by_a_router_is_used_after_its_first_report => {
        let mut fixture = Fixture::new();
        // A new scheduler with a waiting request; a second router reports a run.
        fixture.ask([plain_ask()]);
        let hello = Hello {
            router: "r2".into(),
            running: vec![Running { ticket: 1, organisation: "bench".into(), backend: "s1".into(), ..Running::default() }],
            ..Hello::default()
        };
        fixture.allocator.attach(&hello, fixture.now);
        let server = BackendReport { models: Vec::new(), ..engine_report("s1", 4) };
        assert_that!(fixture.report(server), eq(""));
        assert_that!(fixture.decide(), some(eq("s1")));
    };

    ignores_late_heartbeats_after_an_end_that_preceded_all_reports => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { gone: true, incarnation: 0, ..engine_report("e1", 4) });
        fixture.now += Duration::from_secs(2);
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        // A report that another instance received before the end shows which incarnation has ended.
        fixture.report(BackendReport { age_ms: 3000, ..engine_report("e1", 4) });
        fixture.now += Duration::from_secs(20);
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    uses_a_restarted_backend_server_whose_end_preceded_all_reports => {
        let plain = BackendReport { models: Vec::new(), ..engine_report("s1", 4) };
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

    drained_backend_server_gets_no_requests => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 4));
        let drains = vec![Drain { backend: "e1".into() }];
        let configuration = Configuration { drains, ..Configuration::default() };
        fixture.allocator.configure(&configuration, fixture.now);
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.allocator.configure(&Configuration::default(), fixture.now);
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    drain_applies_to_a_backend_server_announced_later => {
        let mut fixture = Fixture::new();
        let drains = vec![Drain { backend: "e1".into() }];
        let configuration = Configuration { drains, ..Configuration::default() };
        fixture.allocator.configure(&configuration, fixture.now);
        fixture.report(engine_report("e1", 4));
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    refuses_another_backend_server_of_the_same_name_during_the_lease => {
        let mut fixture = Fixture::new();
        let other = || BackendReport { token_hash: vec![2], ..engine_report("e1", 4) };
        let first = BackendReport { token_hash: vec![1], ..engine_report("e1", 4) };
        assert_that!(fixture.report(first), eq(""));
        assert_that!(fixture.report(other()), not(eq("")));
        fixture.now += Duration::from_secs(3);
        assert_that!(fixture.report(other()), eq(""));
    };

    refuses_an_older_incarnation_of_a_backend_server => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { incarnation: 2, ..engine_report("e1", 4) });
        assert_that!(fixture.report(engine_report("e1", 4)), not(eq("")));
    };

    matches_requests_by_model_version_and_adapter => {
        let mut fixture = Fixture::new();
        let mut report = engine_report("e1", 4);
        report.models[0].adapters = vec!["zarqa".into()];
        fixture.report(report);
        let fitting = Ask { version: "1".into(), adapter: "zarqa".into(), ..ask("bench") };
        let version = Ask { version: "2".into(), ..ask("till") };
        let adapter = Ask { adapter: "irbid".into(), ..ask("till") };
        assert_that!(fixture.ask_and_decide(fitting), some(eq("e1")));
        assert_that!(fixture.ask_and_decide(version), none());
        assert_that!(fixture.ask_and_decide(adapter), none());
    };

    prefers_a_cached_prefix_until_its_eviction => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { cached: vec![7], ..engine_report("e1", 8) });
        fixture.report(engine_report("e2", 8));
        let prompt = || Ask { prefixes: vec![7], ..ask("bench") };
        assert_that!(fixture.ask_and_decide(prompt()), some(eq("e1")));
        fixture.report(BackendReport { evicted: vec![7], ..engine_report("e1", 8) });
        assert_that!(fixture.ask_and_decide(prompt()), some(eq("e2")));
    };

    external_load_takes_slots_but_late_reports_of_own_runs_do_not => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { running: 2, ..engine_report("e1", 2) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.report(engine_report("e1", 2));
        fixture.allocator.decide(fixture.now);
        fixture.allocator.frames(fixture.now);
        fixture.end(1);
        // The next report still includes the run that has ended.
        fixture.report(BackendReport { running: 1, ..engine_report("e1", 1) });
        assert_that!(fixture.ask_and_decide(ask("till")), some(eq("e1")));
    };

    probes_a_backend_server_whose_full_report_is_stale => {
        // The backend server keeps reporting that it is full although nothing was granted there.
        let mut fixture = Fixture::new();
        let stuck = || BackendReport { running: 4, ..engine_report("e1", 4) };
        fixture.report(stuck());
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        let mut granted = None;
        for _ in 0..40 {
            fixture.now += Duration::from_millis(100);
            fixture.report(stuck());
            granted = granted.or(fixture.decide());
        }
        assert_that!(granted, some(eq("e1")));
        // Only one request probes at a time, because the backend server may really be full.
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    refuses_nothing_with_free_slots_after_an_overload => {
        // Grants of a single slot every 500 ms make the mean grant interval long. Then slots become free.
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 1));
        fixture.ask((0..24).map(|n| ask(["bench", "till"][n % 2])));
        for _ in 0..20 {
            let ticket = fixture.decide_all().0.first().expect("a grant").ticket;
            fixture.now += Duration::from_millis(500);
            fixture.report(engine_report("e1", 1));
            fixture.end(ticket);
        }
        fixture.report(engine_report("e2", 64));
        fixture.decide_all();
        fixture.ask((0..4).map(|_| Ask { objective_ms: 300, ..ask("bench") }));
        let (grants, refusals) = fixture.decide_all();
        assert_that!((grants.len(), refusals.len()), eq((4, 0)));
    };

    ignores_out_of_order_reports => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { sequence: 5, leaving: true, ..engine_report("e1", 4) });
        fixture.report(BackendReport { sequence: 4, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.report(BackendReport { incarnation: 2, sequence: 1, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    resent_report_does_not_renew_the_lease => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { age_ms: 2900, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
        fixture.now += Duration::from_millis(100);
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    ended_backend_server_returns_only_as_a_new_incarnation => {
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { sequence: 5, ..engine_report("e1", 4) });
        fixture.report(BackendReport { gone: true, incarnation: 0, sequence: 99, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.now += Duration::from_millis(500);
        fixture.report(BackendReport { sequence: 6, ..engine_report("e1", 4) });
        fixture.report(BackendReport { incarnation: 2, age_ms: 800, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
        fixture.report(BackendReport { incarnation: 2, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), some(eq("e1")));
    };

    records_the_end_of_an_unknown_backend_server => {
        // A new scheduler receives the end first, and then an older report from another instance.
        let mut fixture = Fixture::new();
        fixture.report(BackendReport { gone: true, incarnation: 0, ..engine_report("e1", 4) });
        fixture.now += Duration::from_millis(200);
        fixture.report(BackendReport { age_ms: 700, ..engine_report("e1", 4) });
        assert_that!(fixture.ask_and_decide(ask("bench")), none());
    };

    slots_without_a_scheduler_are_divided_among_instances_without_callers => {
        let mut fixture = Fixture::new();
        for instance in ["r2", "r3", "c1", "c2", "c3"] {
            let hello = Hello { router: instance.into(), ..Hello::default() };
            fixture.allocator.attach(&hello, fixture.now);
        }
        let instance = |id: &str| Instance {
            id: id.into(),
            caller_address: if id.starts_with('r') { "127.0.0.1:1".into() } else { String::new() },
            ..Instance::default()
        };
        let instances = ["c1", "c2", "c3", "r1", "r2"].map(instance).to_vec();
        let configuration = Configuration { instances, ..Configuration::default() };
        fixture.allocator.configure(&configuration, fixture.now);
        fixture.report(engine_report("e1", 12));
        fixture.allocator.tick(fixture.now);
        let frames = fixture.allocator.frames(fixture.now);
        let shares = frames.into_iter().filter_map(|(_, frame)| frame.fallback);
        let slots: Vec<u32> = shares.map(|share| share.backends.iter().map(|b| b.slots).sum()).collect();
        // The third router is not known to the configuration yet.
        assert_that!(slots, elements_are![eq(&4), eq(&4), eq(&4)]);
    };
}
