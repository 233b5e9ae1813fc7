use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, HttpResponse, post, wait_until};
use serde_json::Value;

use crate::{CHAT_BODY, create_organisation, revision};

/// Time after which every lease from the control replicas has expired.
const LEASE_EXPIRY: Duration = Duration::from_secs(6);

/// Requests a chat completion from an instance.
fn send_chat(fleet: &Fleet, index: usize) -> HttpResponse {
    let response = post(
        fleet.caller_address(index),
        "/v1/chat/completions",
        "adala-key",
        CHAT_BODY,
    );
    response.expect("a response")
}

fn error_kind(response: &HttpResponse) -> String {
    let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
    body["error"]["kind"].as_str().unwrap_or_default().into()
}

/// Starts a fleet with an engine and waits until an instance serves the model.
fn start_serving(settings: &FleetSettings, index: usize) -> Fleet {
    let mut fleet = Fleet::start(settings);
    fleet.start_engine("engine-1", &[]);
    wait_until("the model is served", || {
        send_chat(&fleet, index).status == 200
    });
    fleet
}

/// Returns the index of the instance that runs the scheduler of the model's pool.
fn scheduler_index(fleet: &Fleet) -> usize {
    let pools = fleet.run_tool(&["--json", "pool", "list"]).json();
    let id = pools["pools"][0]["scheduler"]
        .as_str()
        .expect("a scheduler");
    id[1..].parse().expect("a number")
}

/// Whether every instance serves a request; a refusal must report that the request did not run.
fn is_served_by_all(fleet: &Fleet) -> bool {
    let responses = (0..fleet.len()).map(|index| send_chat(fleet, index));
    let refused: Vec<HttpResponse> = responses
        .filter(|response| response.status != 200)
        .collect();
    for response in &refused {
        assert_that!(
            response.header("x-run"),
            some(eq("not-run")),
            "{response:?}"
        );
    }
    refused.is_empty()
}

fn assert_served(fleet: &Fleet, down: &[usize]) {
    for index in (0..fleet.len()).filter(|index| !down.contains(index)) {
        let response = send_chat(fleet, index);
        assert_that!(response.status, eq(200), "i{index}: {response:?}");
    }
}

cases! {
    disconnected_instance_refuses_requests_and_lists_other_instances => {
        let fleet = start_serving(&FleetSettings { has_proxies: true, ..Default::default() }, 3);
        fleet.set_disconnected(3, true);
        wait_until("i3 refuses requests", || send_chat(&fleet, 3).status == 503);
        let refused = send_chat(&fleet, 3);
        assert_that!(error_kind(&refused), eq("disconnected"));
        assert_that!(refused.header("x-run"), some(eq("not-run")));
        assert_that!(refused.header("retry-after"), some(anything()));
        assert_that!(refused.body, contains_substring(fleet.caller_address(0).to_string()));
        // If the scheduler was on i3, another instance takes over.
        wait_until("the others serve", || (0..3).all(|index| send_chat(&fleet, index).status == 200));
        create_organisation(&fleet, "irbid");
        fleet.set_disconnected(3, false);
        wait_until("i3 serves again", || send_chat(&fleet, 3).status == 200);
        fleet.wait_until_ready();
    };
    disconnected_leader_commits_nothing_and_rejoins => {
        let fleet = Fleet::start_empty(&FleetSettings { has_proxies: true, ..Default::default() });
        fleet.wait_until_ready();
        let leader = fleet.leader().expect("a leader");
        fleet.set_disconnected(leader, true);
        let output = fleet.run_tool_at(&[leader], &["--timeout", "2s", "organisation", "create", "lost"]);
        assert_that!(output.exit_code, eq(4), "{}", output.stderr);
        let others: Vec<usize> = (0..4).filter(|index| *index != leader).collect();
        wait_until("another instance is the leader", || {
            fleet.run_tool_at(&others, &["organisation", "create", "zarqa"]).exit_code != 4
        });
        assert_that!(fleet.read_at(leader), none());
        fleet.set_disconnected(leader, false);
        fleet.wait_until_ready();
        assert_that!(revision(&fleet), eq(1));
    };
    routers_serve_without_a_majority_of_replicas => {
        let mut fleet = start_serving(&FleetSettings { instances: 7, ..Default::default() }, 6);
        let scheduler = scheduler_index(&fleet);
        // Two of three replicas are a majority; the instance with the scheduler keeps running.
        let down: Vec<usize> = (0..3).filter(|index| *index != scheduler).take(2).collect();
        for index in &down {
            fleet.kill(*index);
        }
        let deadline = Instant::now() + LEASE_EXPIRY;
        while Instant::now() < deadline {
            assert_served(&fleet, &down);
        }
        assert_that!(fleet.run_tool(&["--timeout", "1s", "config", "show"]).exit_code, eq(4));
        for index in &down {
            fleet.restart(*index);
        }
        fleet.wait_until_ready();
        // The scheduler resumes and the backend servers announce themselves again.
        wait_until("all instances serve again", || is_served_by_all(&fleet));
    };
    routers_serve_without_a_majority_of_replicas_and_the_scheduler => {
        let mut fleet = start_serving(&FleetSettings { instances: 7, ..Default::default() }, 6);
        assert_served(&fleet, &[]);
        let scheduler = scheduler_index(&fleet);
        let mut down: Vec<usize> = (0..3).filter(|index| *index != scheduler).take(2).collect();
        down.push(scheduler);
        for index in &down {
            fleet.kill(*index);
        }
        let running: Vec<usize> = (0..7).filter(|index| !down.contains(index)).collect();
        wait_until("one router serves with its granted slots", || {
            let responses: Vec<_> = running.iter().map(|index| send_chat(&fleet, *index)).collect();
            let refused = responses.iter().filter(|response| response.status != 200);
            for response in refused {
                assert_that!(response.header("x-run"), some(eq("not-run")), "{response:?}");
            }
            responses.iter().any(|response| response.status == 200)
        });
        for index in &down {
            fleet.restart(*index);
        }
        fleet.wait_until_ready();
        wait_until("all instances serve again", || is_served_by_all(&fleet));
    };
}
