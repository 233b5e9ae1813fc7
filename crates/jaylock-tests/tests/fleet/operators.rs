use std::thread;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::{Fleet, FleetSettings};

use crate::{create, organisations, revision};

/// Races of two operators in one run.
const RACES: usize = 8;

cases! {
    of_two_operators_under_one_revision_exactly_one_wins => {
        let fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        let mut winners = Vec::new();
        for race in 0..RACES {
            let read = revision(&fleet).to_string();
            let attempt = |place: usize| {
                let id = format!("race{race}-{place}");
                let (fleet, read) = (&fleet, read.as_str());
                let arguments = ["--expect", read, "organisation", "create", &id];
                (id.clone(), fleet.run_tool_at(&[place], &arguments).exit_code)
            };
            let (first, second) = thread::scope(|scope| {
                let other = scope.spawn(|| attempt(1));
                (attempt(0), other.join().expect("an outcome"))
            });
            let mut codes = [first.1, second.1];
            codes.sort_unstable();
            assert_that!(codes, eq([0, 3]));
            winners.push(if first.1 == 0 { first.0 } else { second.0 });
        }
        winners.sort();
        assert_that!(organisations(&fleet), eq(&winners));
    };
    a_resend_after_the_leader_was_killed_gets_the_first_answer => {
        let mut fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        let arguments = ["--json", "--command-id", "c1", "organisation", "create", "zarqa"];
        let first = fleet.run_tool(&arguments);
        assert_that!(first.exit_code, eq(0), "{}", first.stderr);
        create(&fleet, "irbid");
        let before = revision(&fleet);
        let leader = fleet.leader().expect("a leader");
        fleet.kill(leader);
        let second = fleet.run_tool(&arguments);
        assert_that!((second.exit_code, second.stdout), eq(&(0, first.stdout)));
        assert_that!(revision(&fleet), eq(before));
        // A removal that is resent must not remove what was created anew.
        let removal = ["--command-id", "c2", "organisation", "remove", "zarqa"];
        assert_that!(fleet.run_tool(&removal).exit_code, eq(0));
        create(&fleet, "zarqa");
        fleet.restart(leader);
        fleet.wait_until_ready();
        assert_that!(fleet.run_tool(&removal).exit_code, eq(0));
        assert_that!(organisations(&fleet), elements_are![eq("irbid"), eq("zarqa")]);
    };
    a_revision_is_waited_for_and_laggards_are_named => {
        let fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        create(&fleet, "zarqa");
        assert_that!(fleet.run_tool(&["config", "wait"]).exit_code, eq(0));
        let newest = revision(&fleet);
        fleet.suspend(3);
        create(&fleet, "irbid");
        let next = (newest + 1).to_string();
        let outcome = fleet.run_tool(&["--timeout", "500ms", "config", "wait", &next]);
        fleet.resume(3);
        assert_that!(outcome.exit_code, eq(5), "{}", outcome.stderr);
        assert_that!(outcome.stderr, contains_substring("i3"));
        assert_that!(fleet.run_tool(&["config", "wait", &next]).exit_code, eq(0));
    };
}
