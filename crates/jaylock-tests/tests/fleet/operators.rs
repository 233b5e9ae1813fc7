use std::thread;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::wait_until;
use jaylock_tests::{Fleet, FleetSettings};
use serde_json::json;

use crate::{create_organisation, organisations, revision};

/// Number of races between two operators.
const RACES: usize = 8;

cases! {
    exactly_one_of_two_changes_that_expect_the_same_revision_is_accepted => {
        let fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        let mut winners = Vec::new();
        for race in 0..RACES {
            let read = revision(&fleet).to_string();
            let create = |index: usize| {
                let id = format!("race{race}-{index}");
                let (fleet, read) = (&fleet, read.as_str());
                let arguments = ["--expect", read, "organisation", "create", &id];
                (id.clone(), fleet.run_tool_at(&[index], &arguments).exit_code)
            };
            let (first, second) = thread::scope(|scope| {
                let other = scope.spawn(|| create(1));
                (create(0), other.join().expect("the thread does not panic"))
            });
            let mut codes = [first.1, second.1];
            codes.sort_unstable();
            assert_that!(codes, eq([0, 3]));
            winners.push(if first.1 == 0 { first.0 } else { second.0 });
        }
        winners.sort();
        assert_that!(organisations(&fleet), eq(&winners));
    };
    command_retried_after_a_leader_crash_returns_the_first_result => {
        let mut fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        let arguments = ["--json", "--command-id", "c1", "organisation", "create", "zarqa"];
        let first = fleet.run_tool(&arguments);
        assert_that!(first.exit_code, eq(0), "{}", first.stderr);
        create_organisation(&fleet, "irbid");
        let before = revision(&fleet);
        let leader = fleet.leader().expect("a leader");
        fleet.kill(leader);
        let second = fleet.run_tool(&arguments);
        assert_that!((second.exit_code, second.stdout), eq(&(0, first.stdout)));
        assert_that!(revision(&fleet), eq(before));
        // A retried removal must not remove an organisation that was created again in between.
        let removal = ["--command-id", "c2", "organisation", "remove", "zarqa"];
        assert_that!(fleet.run_tool(&removal).exit_code, eq(0));
        create_organisation(&fleet, "zarqa");
        fleet.restart(leader);
        fleet.wait_until_ready();
        assert_that!(fleet.run_tool(&removal).exit_code, eq(0));
        assert_that!(organisations(&fleet), elements_are![eq("irbid"), eq("zarqa")]);
    };
    // Guards against a list that counts an instance as informed which does not have the order.
    domain_list_counts_the_instances_that_have_the_order => {
        let fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        let row = || {
            let listed = fleet.run_tool_at(&[0, 1, 2], &["--json", "domain", "list"]).json();
            let field = |name: &str| listed[1][name].clone();
            (field("domain"), field("state"), field("informed"), field("instances"))
        };
        let informed = |state: &str, count: u32| (json!("d1"), json!(state), json!(count), json!(4));
        wait_until("all instances are listed", || row() == informed("in use", 4));
        fleet.suspend(3);
        assert_that!(fleet.run_tool_at(&[0], &["domain", "evacuate", "d1"]).exit_code, eq(0));
        wait_until("three instances have the order", || row() == informed("evacuated", 3));
        fleet.resume(3);
        wait_until("all instances have the order", || row() == informed("evacuated", 4));
        assert_that!(fleet.run_tool(&["domain", "restore", "d1"]).exit_code, eq(0));
        wait_until("the domain is in use", || row() == informed("in use", 4));
    };
    config_wait_names_instances_without_the_revision => {
        let fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        create_organisation(&fleet, "zarqa");
        assert_that!(fleet.run_tool(&["config", "wait"]).exit_code, eq(0));
        let newest = revision(&fleet);
        fleet.suspend(3);
        create_organisation(&fleet, "irbid");
        let next = (newest + 1).to_string();
        let output = fleet.run_tool(&["--timeout", "500ms", "config", "wait", &next]);
        fleet.resume(3);
        assert_that!(output.exit_code, eq(5), "{}", output.stderr);
        assert_that!(output.stderr, contains_substring("i3"));
        assert_that!(fleet.run_tool(&["config", "wait", &next]).exit_code, eq(0));
    };
}
