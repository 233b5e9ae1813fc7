use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Answer, Fleet, FleetSettings, post, wait_until};
use serde_json::Value;

use crate::{BODY, create, revision};

/// Asks an instance for a model's answer.
fn ask(fleet: &Fleet, place: usize) -> Answer {
    let answer = post(
        fleet.caller(place),
        "/v1/chat/completions",
        "adala-key",
        BODY,
    );
    answer.expect("an answer")
}

fn kind(answer: &Answer) -> String {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    body["error"]["kind"].as_str().unwrap_or_default().into()
}

/// A fleet with an engine, once an instance serves the model.
fn serving(settings: &FleetSettings, place: usize) -> Fleet {
    let mut fleet = Fleet::start(settings);
    fleet.engine("engine-1", &[]);
    wait_until("the model is served", || ask(&fleet, place).status == 200);
    fleet
}

cases! {
    a_cut_instance_stops_admitting_and_names_others => {
        let fleet = serving(&FleetSettings { is_forwarded: true, ..Default::default() }, 3);
        fleet.set_cut(3, true);
        wait_until("i3 stops admitting", || ask(&fleet, 3).status == 503);
        let refused = ask(&fleet, 3);
        assert_that!(kind(&refused), eq("disconnected"));
        assert_that!(refused.header("x-run"), some(eq("not-run")));
        assert_that!(refused.header("retry-after"), some(anything()));
        assert_that!(refused.body, contains_substring(fleet.caller(0).to_string()));
        // The scheduler may have been on i3; then another one takes over.
        wait_until("the others serve", || (0..3).all(|place| ask(&fleet, place).status == 200));
        create(&fleet, "irbid");
        fleet.set_cut(3, false);
        wait_until("i3 serves again", || ask(&fleet, 3).status == 200);
        fleet.wait_ready();
    };
    a_cut_leader_changes_nothing_and_rejoins => {
        let fleet = Fleet::bare(&FleetSettings { is_forwarded: true, ..Default::default() });
        fleet.wait_ready();
        let leader = fleet.leader().expect("a leader");
        fleet.set_cut(leader, true);
        let outcome = fleet.tool_at(&[leader], &["--timeout", "2s", "organisation", "create", "lost"]);
        assert_that!(outcome.code, eq(4), "{}", outcome.err);
        let others: Vec<usize> = (0..4).filter(|place| *place != leader).collect();
        wait_until("another leads", || {
            fleet.tool_at(&others, &["organisation", "create", "zarqa"]).code != 4
        });
        assert_that!(fleet.read_at(leader), none());
        fleet.set_cut(leader, false);
        fleet.wait_ready();
        assert_that!(revision(&fleet), eq(1));
    };
}
