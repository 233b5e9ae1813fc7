//! Tests of backend servers that are cold after a start, an outage or an evacuation.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use googletest::prelude::*;
use jaylock_rpc::v1::{
    Ask, BackendReport, ColdNotice, Configuration, Evacuation, Grant, Hello, PromptPart,
    RouterFrame, Running,
};
use jaylock_share::ClientState;
use jaylock_tests::cases;
use jaylock_types::Notice;

use crate::cold_world::{COLD_RATE_MILLI, COLD_TIME, World, cold_configuration};
use crate::fixture::Fixture;
use crate::fleet::{ask, detached_router_of, end, engine_report};

const SECOND: Duration = Duration::from_secs(1);
/// Time for which a report may have been on its way.
const IN_TRANSIT: Duration = Duration::from_millis(100);
/// Number of requests that would all be granted at once at a warm backend server.
const RUSH: usize = 40;
/// Six backend servers in three domains.
const SERVERS: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];

/// A scheduler of a service whose backend servers may be cold, when no earlier grants can be used any more.
fn scheduler() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.now += SECOND;
    configure(&mut fixture, &cold_configuration());
    fixture
}

fn configure(fixture: &mut Fixture, configuration: &Configuration) {
    fixture.allocator.configure(configuration, fixture.now);
}

fn report(sequence: u64, cold_ms: Option<u32>) -> BackendReport {
    BackendReport {
        sequence,
        cold_ms,
        ..engine_report("e1", 64)
    }
}

/// Whether each of many requests is granted a slot at once.
fn takes_a_rush(fixture: &mut Fixture) -> bool {
    let tickets = fixture.ask((0..RUSH).map(|_| ask("bench")));
    let granted = fixture.decide_all().0.len();
    for ticket in tickets {
        fixture.cancel(ticket);
        fixture.end(ticket);
    }
    granted == RUSH
}

fn state(fixture: &Fixture) -> String {
    let report = fixture.allocator.describe("i1", fixture.now);
    report.backends[0].state.clone()
}

/// The configuration after the domain of the engines was evacuated and restored.
fn restored(index: u64) -> Configuration {
    let entry = Evacuation {
        domain: "amman-a".into(),
        index,
        since_ms: 0,
        restored_ms: 1,
    };
    Configuration {
        evacuations: vec![entry],
        ..cold_configuration()
    }
}

/// The slot that a router without a scheduler grants itself under a configuration.
fn local_grant(
    router: &mut ClientState,
    configuration: &Configuration,
    now: Instant,
) -> Option<Grant> {
    let (reply, mut receiver) = oneshot::channel();
    router.request_slot(
        Ask {
            ticket: 1,
            ..ask("bench")
        },
        reply,
        now,
    );
    router.grant_locally(configuration, now);
    receiver.try_recv().ok()??.ok()
}

cases! {
    // Guards against a limit that each router keeps alone, so that a hundred routers exceed it together, and against one so
    // strict that a cold server gets less than 80 % of what it takes.
    hundred_routers_exceed_the_limit_of_one_cold_server => {
        let mut world = World::new(100, &[("e1", "a")]);
        world.run(SECOND * 4, 0.0);
        world.turn_cold("a");
        let start = world.now;
        world.run(COLD_TIME, 400.0);
        let (most, all) = (world.servers[0].most_in_a_second(), world.servers[0].arrivals_in(start..world.now));
        println!("most in a second: {most}, all: {all}");
        expect_that!(most, le(world.max_in_a_second()));
        expect_that!(all, ge(12));
    };
    // Guards against grants of two schedulers that add up, and against routers that use cold servers alone.
    cold_server_gets_too_many_requests_while_its_scheduler_is_replaced => {
        for lost_for in [0, 400, 1500].map(Duration::from_millis) {
            let mut world = World::new(40, &[("e1", "a")]);
            world.run(SECOND * 4, 0.0);
            world.turn_cold("a");
            world.run(SECOND * 3 / 2, 400.0);
            world.lose_scheduler();
            let lost_at = world.now;
            world.run(lost_for, 400.0);
            // Only what was granted before the loss arrives in that time.
            let alone = world.servers[0].arrivals_in(lost_at + SECOND..world.now.max(lost_at + SECOND));
            world.start_scheduler(40);
            world.run(COLD_TIME, 400.0);
            let most = world.servers[0].most_in_a_second();
            println!("lost for {lost_for:?}: most in a second: {most}");
            expect_that!(most, le(world.max_in_a_second()));
            expect_that!(alone, eq(0));
        }
    };
    // Guards against grants of more than a second that are sent together, also by routers that the next scheduler has not
    // heard from.
    grants_that_wait_at_routers_are_sent_together => {
        for (rate_milli, loses_scheduler) in [(COLD_RATE_MILLI, false), (40_000, false), (40_000, true)] {
            let mut world = World::new(40, &[("e1", "a")]);
            world.configuration.services[0].cold_rate_milli = rate_milli;
            world.held_for = Duration::from_millis(950);
            world.run(SECOND * 4, 0.0);
            world.turn_cold("a");
            world.run(Duration::from_millis(1900), 400.0);
            if loses_scheduler {
                world.lose_scheduler();
                world.start_scheduler(5);
            }
            world.run(SECOND * 2, 400.0);
            let most = world.servers[0].most_in_a_second();
            println!("rate {rate_milli}, scheduler lost {loses_scheduler}: most in a second: {most}");
            expect_that!(most, le(world.max_in_a_second()));
        }
    };
    // Guards against a domain that is cold at once and gets the load of all, as its servers are idle; against warm servers
    // that don't take its share; and against a share that comes back at a blow.
    cold_domain_gets_its_share_at_once_or_never => {
        let mut world = World::new(30, &SERVERS);
        world.run(SECOND * 3, 300.0);
        world.refused = 0;
        world.order("a", true);
        world.run(SECOND, 300.0);
        let evacuated = world.now..world.now + SECOND;
        world.run(SECOND, 300.0);
        world.turn_cold("a");
        world.order("a", false);
        world.run(COLD_TIME, 300.0);
        let cold = evacuated.end..world.now;
        let shares = [(); 5].map(|()| {
            let start = world.now;
            world.run(SECOND, 300.0);
            world.servers[0].arrivals_in(start..world.now)
        });
        println!("requests after the cold time, by second: {shares:?}; refused: {}", world.refused);
        for server in &world.servers[..2] {
            expect_that!(server.arrivals_in(evacuated.clone()), eq(0));
            expect_that!(server.arrivals_in(cold.clone()), ge(8));
            expect_that!(server.most_in_a_second(), le(world.max_in_a_second()));
        }
        expect_that!(world.refused, eq(0));
        // 300 a second over six servers are 50 for each.
        expect_that!(shares, elements_are![le(25), le(40), anything(), anything(), ge(40)]);
    };
    // Guards against engines that turn cold under their usual load, 7 requests a second, and get as many from then on.
    engines_turn_cold_under_load_and_get_too_many_requests => {
        let mut world = World::new(30, &SERVERS);
        world.run(SECOND * 4, 42.0);
        world.turn_cold("a");
        world.run(COLD_TIME, 42.0);
        expect_that!(world.servers[0].most_in_a_second(), le(world.max_in_a_second()));
        expect_that!(world.servers[1].most_in_a_second(), le(world.max_in_a_second()));
    };
    // Guards against a new scheduler that grants slots at a cold server while routers may still use those of the one before.
    new_scheduler_uses_a_cold_server_before_earlier_grants_are_outdated => {
        let mut fixture = Fixture::new();
        configure(&mut fixture, &cold_configuration());
        let grants = [9, 5].map(|steps| {
            for _ in 0..steps {
                fixture.now += IN_TRANSIT;
                fixture.report(report(1, Some(3000)));
            }
            fixture.ask_and_decide(ask("bench")).is_some()
        });
        expect_that!(grants, eq([false, true]));
    };
    // Guards against a new scheduler that doesn't count the requests which routers were about to send.
    new_scheduler_forgets_the_requests_on_their_way_to_a_cold_server => {
        for (tokens, is_granted) in [(0, false), (1, true)] {
            let mut fixture = scheduler();
            let run = |ticket| Running { ticket, backend: "e1".into(), tokens, ..Running::default() };
            let hello = Hello { router: "r2".into(), running: (101..=105).map(run).collect(), ..Hello::default() };
            let router = fixture.allocator.attach(&hello, fixture.now);
            fixture.report(report(1, Some(3000)));
            fixture.now += SECOND;
            expect_that!(fixture.ask_and_decide(ask("bench")).is_some(), eq(is_granted));
            let frame = RouterFrame { ends: vec![end(101, 0)], ..RouterFrame::default() };
            fixture.allocator.apply(router, frame, fixture.now);
            expect_that!(fixture.ask_and_decide(ask("bench")).is_some(), eq(true));
        }
    };
    // Guards against a late report from before a server turned cold, and against one that says less than a response said.
    late_report_ends_a_cold_time => {
        let mut fixture = scheduler();
        fixture.report(report(5, Some(3000)));
        fixture.report(report(4, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(false));
        fixture.report(report(6, Some(0)));
        let notice = ColdNotice { backend: "e1".into(), incarnation: 1, cold_ms: 2000 };
        let frame = RouterFrame { cold_notices: vec![notice], ..RouterFrame::default() };
        fixture.allocator.apply(fixture.router, frame, fixture.now);
        fixture.report(report(7, Some(0)));
        expect_that!(state(&fixture), eq("cold"));
        fixture.now += SECOND * 2;
        fixture.report(report(8, Some(0)));
        expect_that!(state(&fixture), eq("ready"));
    };
    // Guards against a start that doesn't say how long it is cold and gets a rush before anyone knows.
    start_that_does_not_say_that_it_is_cold_takes_a_rush => {
        let mut fixture = scheduler();
        let rushes = [1, 2, 3].map(|sequence| {
            fixture.report(report(sequence, None));
            fixture.now += COLD_TIME;
            fixture.report(report(sequence, None));
            takes_a_rush(&mut fixture)
        });
        expect_that!(rushes, eq([false, true, true]));
        fixture.report(BackendReport { incarnation: 2, ..report(4, None) });
        expect_that!(takes_a_rush(&mut fixture), eq(false));
    };
    // Guards against a limit on services whose document names no cold time.
    service_without_a_cold_time_is_limited => {
        let mut fixture = Fixture::new();
        fixture.report(report(1, Some(3000)));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
    };
    // Guards against a restored domain that gets a rush as a report from before said warm, and against one that is cold
    // whenever the configuration changes.
    restored_domain_takes_a_rush_before_it_reports_or_never => {
        let mut fixture = scheduler();
        fixture.report(report(1, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
        configure(&mut fixture, &restored(2));
        fixture.now += IN_TRANSIT;
        fixture.report(report(2, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(false));
        fixture.now += SECOND;
        fixture.report(report(3, Some(0)));
        configure(&mut fixture, &restored(2));
        expect_that!(state(&fixture), eq("ready"));
        // A new scheduler reads of a restoration long ago.
        let mut fixture = Fixture::new();
        configure(&mut fixture, &restored(2));
        fixture.report(report(1, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
    };
    // Guards against a router without a scheduler that uses a server which may be cold by now, or no server at all.
    router_without_a_scheduler_uses_a_server_that_may_be_cold => {
        let now = Instant::now();
        let notice = Notice { cold: SECOND, ..Notice::default() };
        let newer_start = BackendReport { incarnation: 2, ..report(1, Some(0)) };
        let grants = |told: Option<u32>, configuration: &Configuration, learn: &dyn Fn(&mut ClientState)| {
            let mut router = detached_router_of([report(1, told)].into_iter(), now);
            learn(&mut router);
            local_grant(&mut router, configuration, now + SECOND).is_some()
        };
        let cold = cold_configuration();
        expect_that!(grants(Some(0), &cold, &|_| ()), eq(true));
        expect_that!(grants(None, &cold, &|_| ()), eq(false));
        expect_that!(grants(None, &Configuration::default(), &|_| ()), eq(true));
        expect_that!(grants(Some(0), &restored(2), &|_| ()), eq(false));
        expect_that!(grants(Some(0), &cold, &|r| r.report_backend(report(2, Some(100)), now)), eq(false));
        expect_that!(grants(Some(0), &cold, &|r| r.report_backend(newer_start.clone(), now)), eq(false));
        expect_that!(grants(Some(0), &cold, &|r| r.report_notice("e1", 1, &notice, 1.0, now)), eq(false));
    };
    // Guards against a request that leaves long after its grant, when others were granted in its place.
    grant_is_used_long_after_it_arrived => {
        let now = Instant::now();
        for (configuration, is_excluded) in [(cold_configuration(), true), (Configuration::default(), false)] {
            let mut router = detached_router_of([report(1, Some(0))].into_iter(), now);
            let grant = local_grant(&mut router, &configuration, now + SECOND).expect("a grant");
            expect_that!(router.is_excluded(&grant, now + SECOND + IN_TRANSIT), eq(false));
            expect_that!(router.is_excluded(&grant, now + SECOND * 2), eq(is_excluded));
        }
    };
    // Guards against prompts that go to an engine for a part which it lost when it turned cold.
    prompt_goes_to_the_engine_that_lost_its_part => {
        let part = |hash, tokens| PromptPart { hash, tokens };
        let prompt = |own| Ask { prompt_tokens: 10_000, parts: vec![part(1, 9000), part(own, 1000)], ..ask("bench") };
        for (cold_ms, expected) in [(0, "e1"), (100, "e2")] {
            let mut fixture = scheduler();
            fixture.report(report(1, Some(0)));
            expect_that!(fixture.ask_and_decide(prompt(2)), some(eq("e1")));
            fixture.end(1);
            for (sequence, cold_ms) in [(2, cold_ms), (3, 0), (4, 0)] {
                fixture.report(report(sequence, Some(cold_ms)));
                fixture.now += COLD_TIME;
            }
            fixture.report(report(5, Some(0)));
            // It is in the domain of the router.
            fixture.report(BackendReport { domain: String::new(), cold_ms: Some(0), ..engine_report("e2", 64) });
            expect_that!(fixture.ask_and_decide(prompt(3)), some(eq(expected)));
        }
    };
}
