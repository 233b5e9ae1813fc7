use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, HttpResponse, post, wait_until};
use serde_json::Value;

use crate::{BODY, create, revision};

/// A time in which every lease that control gave has run out.
const BEYOND_LEASE: Duration = Duration::from_secs(6);

/// Asks an instance for a model's answer.
fn ask(fleet: &Fleet, place: usize) -> HttpResponse {
    let answer = post(
        fleet.caller_address(place),
        "/v1/chat/completions",
        "adala-key",
        BODY,
    );
    answer.expect("an answer")
}

fn kind(answer: &HttpResponse) -> String {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    body["error"]["kind"].as_str().unwrap_or_default().into()
}

/// A fleet with an engine, once an instance serves the model.
fn serving(settings: &FleetSettings, place: usize) -> Fleet {
    let mut fleet = Fleet::start(settings);
    fleet.start_engine("engine-1", &[]);
    wait_until("the model is served", || ask(&fleet, place).status == 200);
    fleet
}

/// The instance that runs the scheduler of the model's pool.
fn scheduler(fleet: &Fleet) -> usize {
    let listed = fleet.run_tool(&["--json", "pool", "list"]).json();
    let id = listed["pools"][0]["scheduler"]
        .as_str()
        .expect("a scheduler");
    id[1..].parse().expect("a number")
}

/// Whether every instance serves; those that don't must say truly that nothing ran.
fn is_served(fleet: &Fleet) -> bool {
    let answers = (0..fleet.len()).map(|place| ask(fleet, place));
    let refused: Vec<HttpResponse> = answers.filter(|answer| answer.status != 200).collect();
    for answer in &refused {
        assert_that!(answer.header("x-run"), some(eq("not-run")), "{answer:?}");
    }
    refused.is_empty()
}

fn check_served(fleet: &Fleet, down: &[usize]) {
    for place in (0..fleet.len()).filter(|place| !down.contains(place)) {
        let answer = ask(fleet, place);
        assert_that!(answer.status, eq(200), "i{place}: {answer:?}");
    }
}

cases! {
    a_cut_instance_stops_admitting_and_names_others => {
        let fleet = serving(&FleetSettings { has_proxies: true, ..Default::default() }, 3);
        fleet.set_disconnected(3, true);
        wait_until("i3 stops admitting", || ask(&fleet, 3).status == 503);
        let refused = ask(&fleet, 3);
        assert_that!(kind(&refused), eq("disconnected"));
        assert_that!(refused.header("x-run"), some(eq("not-run")));
        assert_that!(refused.header("retry-after"), some(anything()));
        assert_that!(refused.body, contains_substring(fleet.caller_address(0).to_string()));
        // The scheduler may have been on i3; then another one takes over.
        wait_until("the others serve", || (0..3).all(|place| ask(&fleet, place).status == 200));
        create(&fleet, "irbid");
        fleet.set_disconnected(3, false);
        wait_until("i3 serves again", || ask(&fleet, 3).status == 200);
        fleet.wait_until_ready();
    };
    a_cut_leader_changes_nothing_and_rejoins => {
        let fleet = Fleet::start_empty(&FleetSettings { has_proxies: true, ..Default::default() });
        fleet.wait_until_ready();
        let leader = fleet.leader().expect("a leader");
        fleet.set_disconnected(leader, true);
        let outcome = fleet.run_tool_at(&[leader], &["--timeout", "2s", "organisation", "create", "lost"]);
        assert_that!(outcome.exit_code, eq(4), "{}", outcome.stderr);
        let others: Vec<usize> = (0..4).filter(|place| *place != leader).collect();
        wait_until("another leads", || {
            fleet.run_tool_at(&others, &["organisation", "create", "zarqa"]).exit_code != 4
        });
        assert_that!(fleet.read_at(leader), none());
        fleet.set_disconnected(leader, false);
        fleet.wait_until_ready();
        assert_that!(revision(&fleet), eq(1));
    };
    routers_go_on_while_control_is_wholly_down => {
        let mut fleet = serving(&FleetSettings { instances: 7, ..Default::default() }, 6);
        let scheduler = scheduler(&fleet);
        // Two of three replicas are a majority; the scheduler's instance stays.
        let down: Vec<usize> = (0..3).filter(|place| *place != scheduler).take(2).collect();
        for place in &down {
            fleet.kill(*place);
        }
        let end = Instant::now() + BEYOND_LEASE;
        while Instant::now() < end {
            check_served(&fleet, &down);
        }
        assert_that!(fleet.run_tool(&["--timeout", "1s", "config", "show"]).exit_code, eq(4));
        for place in &down {
            fleet.restart(*place);
        }
        fleet.wait_until_ready();
        // The scheduler takes up its work again and hears of the backend servers anew.
        wait_until("all serve again", || is_served(&fleet));
    };
    routers_go_on_while_control_and_the_scheduler_are_down => {
        let mut fleet = serving(&FleetSettings { instances: 7, ..Default::default() }, 6);
        check_served(&fleet, &[]);
        let scheduler = scheduler(&fleet);
        let mut down: Vec<usize> = (0..3).filter(|place| *place != scheduler).take(2).collect();
        down.push(scheduler);
        for place in &down {
            fleet.kill(*place);
        }
        let up: Vec<usize> = (0..7).filter(|place| !down.contains(place)).collect();
        wait_until("one router serves with the slots it holds", || {
            let answers: Vec<_> = up.iter().map(|place| ask(&fleet, *place)).collect();
            let refused = answers.iter().filter(|a| a.status != 200);
            for answer in refused {
                assert_that!(answer.header("x-run"), some(eq("not-run")), "{answer:?}");
            }
            answers.iter().any(|a| a.status == 200)
        });
        for place in &down {
            fleet.restart(*place);
        }
        fleet.wait_until_ready();
        wait_until("all serve again", || is_served(&fleet));
    };
}
