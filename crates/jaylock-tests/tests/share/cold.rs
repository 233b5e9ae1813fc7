//! Tests of backend servers that are cold after a start, an outage or an evacuation.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_rpc::v1::{
    Ask, BackendReport, ColdNotice, Configuration, Evacuation, Fallback, FallbackSlots, Hello,
    PromptPart, RouterFrame, SchedulerFrame,
};
use jaylock_share::{ClientState, SchedulerClientSettings};
use jaylock_tests::cases;
use jaylock_types::Notice;

use crate::cold_world::{COLD_TIME, MAX_IN_A_SECOND, World, cold_configuration};
use crate::fixture::Fixture;
use crate::fleet::{ask, engine_report, grant_locally};

const SECOND: Duration = Duration::from_secs(1);
/// Time in which a report may have been sent before the restoration that it follows.
const IN_TRANSIT: Duration = Duration::from_millis(100);
/// Number of requests that would all be granted at once at a warm backend server.
const RUSH: usize = 40;

/// A scheduler of a service whose backend servers may be cold, after the time in which earlier grants could be used.
fn scheduler() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.now += SECOND;
    fixture
        .allocator
        .configure(&cold_configuration(), fixture.now);
    fixture
}

fn report(sequence: u64, cold_ms: Option<u32>) -> BackendReport {
    BackendReport {
        sequence,
        cold_ms,
        ..engine_report("e1", 64)
    }
}

/// Whether a rush of requests is granted a slot each, some time after the last decision.
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

/// A router that has lost a scheduler which told it of "e1", with what it said of the cold time.
fn detached_router(cold_ms: Option<u32>, now: Instant) -> ClientState {
    let mut router = ClientState::new(SchedulerClientSettings::default());
    let hello = Hello {
        pool: "chat".into(),
        ..Hello::default()
    };
    router.first_frame(hello, now);
    let slots = FallbackSlots {
        backend: Some(report(1, cold_ms)),
        slots: 64,
    };
    let frame = SchedulerFrame {
        epoch: 1,
        fallback: Some(Fallback {
            backends: vec![slots],
        }),
        ..SchedulerFrame::default()
    };
    router.configure(&restored(1));
    router.apply_frame(frame, now);
    router.detach(now);
    router
}

/// Whether a router without a scheduler grants itself a slot under a configuration.
fn grants_itself(router: &mut ClientState, configuration: &Configuration, now: Instant) -> bool {
    router.grant_locally(configuration, now);
    let (reply, mut receiver) = futures_channel::oneshot::channel();
    router.request_slot(
        Ask {
            ticket: 1,
            ..ask("bench")
        },
        reply,
        now,
    );
    router.grant_locally(configuration, now);
    receiver.try_recv().is_ok_and(|reply| reply.is_some())
}

/// A prompt whose first part others share.
fn prompt(own: u64) -> Ask {
    let part = |hash, tokens| PromptPart { hash, tokens };
    Ask {
        prompt_tokens: 10_000,
        parts: vec![part(1, 9000), part(own, 1000)],
        ..ask("bench")
    }
}

cases! {
    // Guards against a limit that each router keeps alone, so that a hundred routers exceed it together.
    hundred_routers_exceed_the_limit_of_one_cold_server => {
        let mut world = World::new(100, &[("e1", "a")]);
        world.turn_cold("a");
        world.run(COLD_TIME, 400.0);
        let most = world.servers[0].most_in_a_second();
        println!("most in a second: {most}, all: {}", world.servers[0].arrivals.len());
        expect_that!(most, le(MAX_IN_A_SECOND));
    };
    // Guards against grants of more than a second that are sent together, also across a change of the scheduler.
    grants_that_wait_at_routers_are_sent_together => {
        for interval in [300, 700, 950, 1300] {
            for loses_scheduler in [false, true] {
                let mut world = World::new(40, &[("e1", "a")]);
                world.send_interval = Duration::from_millis(interval);
                world.run(SECOND * 4, 0.0);
                world.turn_cold("a");
                world.run(Duration::from_millis(1500), 400.0);
                if loses_scheduler {
                    world.lose_scheduler();
                    world.start_scheduler();
                }
                world.run(COLD_TIME, 400.0);
                let most = world.servers[0].most_in_a_second();
                println!("sent each {interval} ms, scheduler lost {loses_scheduler}: most in a second: {most}");
                expect_that!(most, le(MAX_IN_A_SECOND));
            }
        }
    };
    // Guards against a limit so strict that a cold server works far below what it takes.
    cold_server_gets_much_less_than_it_takes => {
        let mut world = World::new(100, &[("e1", "a")]);
        world.run(SECOND * 4, 0.0);
        world.turn_cold("a");
        let start = world.now;
        world.run(COLD_TIME, 400.0);
        let taken = world.servers[0].arrivals_in(start, COLD_TIME);
        println!("taken: {taken}");
        // 80 % of 5.2 a second in 3 s.
        expect_that!(taken, ge(12));
        expect_that!(world.servers[0].most_in_a_second(), le(MAX_IN_A_SECOND));
    };
    // Guards against grants of two schedulers that add up, and against routers that use cold servers alone.
    cold_server_gets_too_many_requests_while_its_scheduler_is_replaced => {
        for lost_for in [0, 400, 1500] {
            let mut world = World::new(40, &[("e1", "a")]);
            world.run(SECOND * 4, 0.0);
            world.turn_cold("a");
            world.run(Duration::from_millis(1500), 400.0);
            world.lose_scheduler();
            let lost_at = world.now;
            world.run(Duration::from_millis(lost_for), 400.0);
            world.start_scheduler();
            world.run(COLD_TIME, 400.0);
            let most = world.servers[0].most_in_a_second();
            println!("lost for {lost_for} ms: most in a second: {most}");
            expect_that!(most, le(MAX_IN_A_SECOND));
            // Only what was granted before the loss arrives before the next scheduler grants.
            let alone = Duration::from_millis(lost_for).saturating_sub(SECOND);
            expect_that!(world.servers[0].arrivals_in(lost_at + SECOND, alone), eq(0));
        }
    };
    // Guards against a domain that is cold at once and gets the load of all, as its servers are idle; against warm servers
    // that don't take its share; and against a share that comes back at a blow.
    cold_domain_gets_its_share_at_once_or_never => {
        let servers = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
        let mut world = World::new(30, &servers);
        world.run(SECOND * 3, 300.0);
        world.refused = 0;
        world.order("a", true);
        world.run(SECOND, 300.0);
        let evacuated_from = world.now;
        world.run(SECOND, 300.0);
        let evacuated_until = world.now;
        world.turn_cold("a");
        world.order("a", false);
        world.run(COLD_TIME, 300.0);
        let mut shares = Vec::new();
        for _ in 0..5 {
            let from = world.now;
            world.run(SECOND, 300.0);
            shares.push(world.servers[0].arrivals_in(from, SECOND));
        }
        println!("share of a1 after the cold time, by second: {shares:?}; refused {}", world.refused);
        for server in &world.servers[..2] {
            expect_that!(server.arrivals_in(evacuated_from, SECOND), eq(0));
            expect_that!(server.arrivals_in(evacuated_until, COLD_TIME), ge(8));
            expect_that!(server.most_in_a_second(), le(MAX_IN_A_SECOND));
        }
        expect_that!(world.refused, eq(0));
        // 300 a second over six servers are 50 for each.
        expect_that!(shares[0], le(25));
        expect_that!(shares[1], all![ge(shares[0]), le(40)]);
        expect_that!(shares[4], ge(40));
    };
    // Guards against engines that turn cold under their usual load, 7 requests a second, and get as many from then on.
    engines_turn_cold_under_load_and_get_too_many_requests => {
        let servers = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
        let mut world = World::new(30, &servers);
        world.run(SECOND * 4, 42.0);
        world.turn_cold("a");
        world.run(COLD_TIME, 42.0);
        for server in &world.servers[..2] {
            expect_that!(server.most_in_a_second(), le(MAX_IN_A_SECOND));
        }
        expect_that!(world.refused, eq(0));
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
        fixture.report(report(1, None));
        expect_that!(takes_a_rush(&mut fixture), eq(false));
        fixture.now += COLD_TIME * 2;
        fixture.report(report(2, None));
        fixture.now += COLD_TIME;
        fixture.report(report(3, None));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
        fixture.report(BackendReport { incarnation: 2, ..report(4, None) });
        expect_that!(takes_a_rush(&mut fixture), eq(false));
    };
    // Guards against a limit on services whose document names no cold time.
    service_without_a_cold_time_is_limited => {
        let mut fixture = Fixture::new();
        fixture.report(report(1, Some(3000)));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
        expect_that!(state(&fixture), eq("ready"));
    };
    // Guards against a restored domain that gets a rush as its last report, from before the restoration, said warm.
    restored_domain_takes_a_rush_before_it_reports => {
        let mut fixture = scheduler();
        fixture.report(report(1, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
        fixture.allocator.configure(&restored(2), fixture.now);
        fixture.now += IN_TRANSIT;
        fixture.report(report(2, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(false));
        fixture.now += SECOND;
        fixture.report(report(3, Some(0)));
        expect_that!(state(&fixture), eq("ready"));
        // The same order, seen again, is no other restoration.
        fixture.allocator.configure(&restored(2), fixture.now);
        expect_that!(fixture.decide_all().0, len(eq(0)));
        expect_that!(state(&fixture), eq("ready"));
    };
    // Guards against a new scheduler that regards a domain as cold because it was restored long ago.
    domain_restored_long_ago_is_cold_under_a_new_scheduler => {
        let mut fixture = Fixture::new();
        fixture.allocator.configure(&restored(2), fixture.now);
        fixture.report(report(1, Some(0)));
        expect_that!(takes_a_rush(&mut fixture), eq(true));
    };
    // Guards against a router without a scheduler that uses a server which may be cold by now.
    router_without_a_scheduler_uses_a_server_that_may_be_cold => {
        let now = Instant::now();
        let later = now + SECOND;
        let mut told = detached_router(Some(0), now);
        expect_that!(grants_itself(&mut told, &restored(1), later), eq(true));
        let mut untold = detached_router(None, now);
        expect_that!(grants_itself(&mut untold, &restored(1), later), eq(false));
        let mut evacuated_since = detached_router(Some(0), now);
        expect_that!(grants_itself(&mut evacuated_since, &restored(2), later), eq(false));
        let mut reported = detached_router(Some(0), now);
        reported.report_backend(report(2, Some(100)), now);
        expect_that!(grants_itself(&mut reported, &restored(1), later), eq(false));
        let mut noticed = detached_router(Some(0), now);
        let notice = Notice { cold: SECOND, ..Notice::default() };
        noticed.report_notice("e1", 1, &notice, 1.0, now);
        expect_that!(grants_itself(&mut noticed, &restored(1), later), eq(false));
        let mut restarted = detached_router(Some(0), now);
        restarted.report_backend(BackendReport { incarnation: 2, ..report(1, Some(0)) }, now);
        expect_that!(grants_itself(&mut restarted, &restored(1), later), eq(false));
    };
    // Guards against a router without a scheduler that stops where no server is ever cold.
    router_without_a_scheduler_stops_without_cold_times => {
        let now = Instant::now();
        let mut router = detached_router(None, now);
        router.configure(&Configuration::default());
        expect_that!(grant_locally(&mut router, ask("bench"), now + SECOND), eq(true));
    };
    // Guards against a request that leaves long after its grant, when the next scheduler has granted others in its place.
    grant_is_used_long_after_it_arrived => {
        let now = Instant::now();
        let mut router = detached_router(Some(0), now);
        let later = now + SECOND;
        let (reply, mut receiver) = futures_channel::oneshot::channel();
        router.request_slot(Ask { ticket: 1, ..ask("bench") }, reply, later);
        router.grant_locally(&restored(1), later);
        let grant = receiver.try_recv().expect("a reply").expect("a reply").expect("a grant");
        expect_that!(router.is_excluded(&grant, later + IN_TRANSIT), eq(false));
        expect_that!(router.is_excluded(&grant, later + SECOND), eq(true));
        router.configure(&Configuration::default());
        expect_that!(router.is_excluded(&grant, later + SECOND), eq(false));
    };
    // Guards against prompts that go to an engine for parts which it lost when it turned cold.
    prompt_goes_to_the_engine_that_lost_its_part => {
        for (cold_ms, expected) in [(0, "e1"), (100, "e2")] {
            let mut fixture = scheduler();
            fixture.report(report(1, Some(0)));
            let first = fixture.ask([prompt(2)]);
            expect_that!(fixture.decide_all().0, len(eq(1)));
            fixture.report_progress(first[0], 1);
            fixture.end(first[0]);
            fixture.report(report(2, Some(cold_ms)));
            fixture.now += COLD_TIME;
            fixture.report(report(3, Some(0)));
            fixture.now += COLD_TIME;
            fixture.report(report(4, Some(0)));
            // It is in the domain of the router.
            fixture.report(BackendReport { domain: String::new(), cold_ms: Some(0), ..engine_report("e2", 64) });
            expect_that!(fixture.ask_and_decide(prompt(3)), some(eq(expected)));
        }
    };
}
