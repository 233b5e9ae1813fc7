use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1::Ask;
use jaylock_tests::{cases, seeded_config};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use crate::fixture::Fixture;
use crate::fleet::{ask, engine_report};
use crate::simulation::{STEP, Simulation};

/// Largest cost of a request, in tokens.
const MAX_COST: u64 = 600;

/// Checks a property over seeded inputs.
fn check<S: Strategy>(cases: u32, inputs: S, property: impl Fn(S::Value))
where
    S::Value: std::fmt::Debug,
{
    let outcome = TestRunner::new(seeded_config(cases)).run(&inputs, |input| {
        property(input);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

/// Costs of mostly short requests, with an occasional long one.
fn costs() -> impl Strategy<Value = Vec<u64>> {
    let cost = prop_oneof![4 => 10_u64..60, 1 => 300..=MAX_COST];
    prop::collection::vec(cost, 64)
}

fn max_service_gap(served: &[u64], base: &[u64], weights: &[u32]) -> u64 {
    let weighted = served.iter().zip(base).zip(weights);
    let weighted = weighted.map(|((served, base), weight)| (served - base) / u64::from(*weight));
    let (least, most) = weighted.fold((u64::MAX, 0), |(a, b), w| (a.min(w), b.max(w)));
    most - least
}

/// Fills the queues of `organisations` and lets the scheduler decide.
fn fill_queues(
    simulation: &mut Simulation,
    organisations: &[usize],
    costs: &[u64],
    next: &mut usize,
) {
    for organisation in organisations {
        while simulation.waiting(*organisation) < 16 {
            let cost = costs[*next % costs.len()];
            *next += 1;
            simulation.ask(*organisation, *next % 2, cost, Ask::default());
        }
    }
    simulation.decide();
}

cases! {
    // Its first attempt took longer than its objective; slots are free.
    request_that_waited_elsewhere_is_granted_a_free_slot => {
        let mut fixture = Fixture::new();
        fixture.report(engine_report("e1", 1));
        let retry = Ask { objective_ms: 1000, waited_ms: 2000, ..ask("bench") };
        fixture.ask([retry]);
        let (grants, refusals) = fixture.decide_all();
        expect_that!((grants.len(), refusals.len()), eq((1, 0)));
    };

    service_gap_between_backlogged_organisations_is_bounded => {
        let inputs = (prop::collection::vec(1_u32..4, 2..9), 1_usize..13, 1_u32..9, costs());
        check(32, inputs, |(weights, engines, slots, costs)| {
            let engines = Simulation::engines(engines, slots);
            let mut simulation = Simulation::new(&weights, engines, 2);
            let all_organisations: Vec<usize> = (0..weights.len()).collect();
            let base = simulation.served.clone();
            let mut next = 0;
            for _ in 0..600 {
                fill_queues(&mut simulation, &all_organisations, &costs, &mut next);
                simulation.step();
                let gap = max_service_gap(&simulation.served, &base, &weights);
                assert_that!(gap, le(2 * MAX_COST));
            }
        });
    };

    idle_time_earns_no_credit => {
        check(24, (1_u32..5, 50_usize..300, costs()), |(slots, idle, costs)| {
            let weights = [1, 1, 1];
            let mut simulation = Simulation::new(&weights, Simulation::engines(1, slots), 2);
            let mut next = 0;
            for _ in 0..idle {
                fill_queues(&mut simulation, &[0, 1], &costs, &mut next);
                simulation.step();
            }
            let base = simulation.served.clone();
            for _ in 0..200 {
                fill_queues(&mut simulation, &[0, 1, 2], &costs, &mut next);
                simulation.step();
                let gap = max_service_gap(&simulation.served, &base, &weights);
                // Requests that run when the organisation returns count for the others only.
                assert_that!(gap, le(2 * MAX_COST));
            }
        });
    };

    single_request_starts_during_floods_of_others => {
        check(24, (1_u32..5, 2_usize..8, costs()), |(slots, flood_count, costs)| {
            let weights = vec![1; flood_count + 1];
            let mut simulation = Simulation::new(&weights, Simulation::engines(1, slots), 2);
            let flooding: Vec<usize> = (0..flood_count).collect();
            let mut next = 0;
            for _ in 0..100 {
                fill_queues(&mut simulation, &flooding, &costs, &mut next);
                simulation.step();
            }
            let before = simulation.served.clone();
            let ticket = simulation.ask(flood_count, 0, 50, Ask::default());
            while simulation.job(ticket).is_some_and(|job| job.engine.is_none()) {
                fill_queues(&mut simulation, &flooding, &costs, &mut next);
                simulation.step();
                for other in &flooding {
                    let gained = simulation.served[*other] - before[*other];
                    assert_that!(gained, le(2 * MAX_COST));
                }
            }
        });
    };

    no_slot_is_idle_while_an_eligible_request_waits => {
        let models = prop::collection::vec(0_usize..3, 1..5);
        let asks = prop::collection::vec((0_usize..4, 0_usize..3, 0_usize..5, 10_u64..200), 80);
        check(64, (models, 1_u32..4, asks), |(models, slots, asks)| {
            let mut engines = Simulation::engines(models.len(), slots);
            for (engine, model) in engines.iter_mut().zip(&models) {
                engine.models[0].model = format!("m{model}");
            }
            let mut simulation = Simulation::new(&[1, 2, 1, 3], engines, 2);
            for (organisation, model, avoid, cost) in asks {
                let ask = Ask {
                    model: format!("m{model}"),
                    avoid: vec![format!("e{avoid}")],
                    ..Ask::default()
                };
                simulation.ask(organisation, 0, cost, ask);
                simulation.step();
                assert_no_idle_slot(&simulation);
            }
        });
    };

    queue_of_an_organisation_is_bounded => {
        check(16, (33_usize..200, 1_usize..4), |(count, others)| {
            let weights = vec![1; others + 1];
            let mut simulation = Simulation::new(&weights, Simulation::engines(1, 1), 2);
            for _ in 0..count {
                simulation.ask(0, 0, 1000, Ask::default());
            }
            for other in 1..=others {
                simulation.ask(other, 1, 1000, Ask::default());
            }
            simulation.decide();
            assert_that!(simulation.waiting(0), le(32));
            let refused = simulation.refusals.len();
            assert_that!(refused, eq(count - 32));
            let retry_delays: Vec<u32> = simulation.refusals.iter().map(|r| r.retry_after_ms).collect();
            // Requests that are refused later get longer retry delays.
            assert_that!(retry_delays.is_sorted() && retry_delays[0] > 0, eq(true));
            let queued: usize = (1..=others).map(|other| simulation.waiting(other)).sum();
            assert_that!(queued, ge(others - 1));
        });
    };

    isolated_request_shares_its_engine_with_no_other => {
        check(24, (1_usize..4, 2_u32..5, costs()), |(engines, slots, costs)| {
            let engines = Simulation::engines(engines, slots);
            let mut simulation = Simulation::new(&[1, 1], engines, 2);
            let mut next = 0;
            fill_queues(&mut simulation, &[0, 1], &costs, &mut next);
            let ticket = simulation.ask(0, 0, 100, Ask { alone: true, ..Ask::default() });
            let mut has_run = false;
            for _ in 0..300 {
                fill_queues(&mut simulation, &[0, 1], &costs, &mut next);
                simulation.step();
                let engine = simulation.job(ticket).and_then(|job| job.engine.clone());
                if let Some(engine) = engine {
                    has_run = true;
                    assert_that!(simulation.running_on(&engine), eq(1));
                }
            }
            assert_that!(has_run, eq(true));
        });
    };

    equal_requests_run_on_at_most_two_backend_servers => {
        check(24, (2_usize..7, 1_u32..4, costs()), |(engines, slots, costs)| {
            let reports = Simulation::engines(engines, slots);
            let mut simulation = Simulation::new(&[1, 1], reports, 2);
            let mut next = 0;
            let equal = || Ask { fingerprint: 7, ..Ask::default() };
            let tickets: Vec<u64> = (0..12).map(|n| simulation.ask(0, n % 2, 100, equal())).collect();
            for _ in 0..300 {
                fill_queues(&mut simulation, &[1], &costs, &mut next);
                simulation.step();
                let jobs = tickets.iter().filter_map(|t| simulation.job(*t));
                let mut engines_used: Vec<_> = jobs.filter_map(|j| j.engine.clone()).collect();
                engines_used.sort_unstable();
                engines_used.dedup();
                assert_that!(engines_used.len(), le(2));
            }
            let left = tickets.iter().filter(|t| simulation.job(**t).is_some()).count();
            assert_that!(left, eq(0), "all equal requests must be served");
        });
    };

    short_requests_overtake_long_ones_without_starving_them => {
        let long_ask = || Ask { limit: 4000, ..Ask::default() };
        let mut simulation = Simulation::new(&[1], Simulation::engines(1, 1), 1);
        let short_ask = || Ask { limit: 64, ..Ask::default() };
        for cost in [600, 20].repeat(6) {
            let ask = if cost == 600 { long_ask() } else { short_ask() };
            simulation.ask(0, 0, cost, ask);
            while !simulation.jobs.is_empty() {
                simulation.step();
            }
        }
        let long_tickets: Vec<u64> = (0..3).map(|_| simulation.ask(0, 0, 600, long_ask())).collect();
        let mut short_requests = 0;
        for step in 0..900 {
            while simulation.jobs.iter().filter(|j| j.engine.is_none() && j.cost == 20).count() < 4 {
                simulation.ask(0, 0, 20, short_ask());
                short_requests += 1;
            }
            simulation.step();
            if step == 48 {
                // Before the starvation wait is over, short requests precede long ones that arrived earlier.
                let waits = |ticket: &u64| simulation.job(*ticket).is_some_and(|j| j.engine.is_none());
                assert_that!(long_tickets.iter().filter(|ticket| waits(ticket)).count(), ge(2));
                assert_that!(short_requests, gt(8));
            }
        }
        let left = long_tickets.iter().filter(|ticket| simulation.job(**ticket).is_some()).count();
        assert_that!(left, eq(0));
    };

    slots_of_a_lost_router_are_freed_after_its_lease => {
        let mut simulation = Simulation::new(&[1, 1], Simulation::engines(1, 2), 2);
        let lost = simulation.ask(0, 1, 100_000, Ask::default());
        simulation.ask(0, 1, 100_000, Ask::default());
        simulation.decide();
        let ticket = simulation.ask(1, 0, 50, Ask::default());
        simulation.disconnect_router(1);
        simulation.decide();
        assert_that!(simulation.job(lost).is_none(), eq(true));
        assert_that!(simulation.job(ticket).is_some_and(|job| job.engine.is_none()), eq(true));
        for _ in 0..Duration::from_secs(5).as_millis() / STEP.as_millis() {
            simulation.step();
        }
        assert_that!(simulation.job(ticket).is_none(), eq(true));
    };
}

fn assert_no_idle_slot(simulation: &Simulation) {
    for job in simulation.jobs.iter().filter(|job| job.engine.is_none()) {
        for engine in &simulation.engines {
            let fits = engine.models[0].model == job.ask.model
                && !job.ask.avoid.contains(&engine.id)
                && simulation.running_on(&engine.id) < engine.slots as usize;
            assert!(
                !fits,
                "{} has an idle slot while {:?} waits",
                engine.id, job.ask
            );
        }
    }
}
