use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, post, wait_until};

use crate::{BODY, organisations};

/// Looks at what a thawed leader answers.
const LOOKS: usize = 20;

/// A time in which every lease of the frozen instance has run out.
const BEYOND_LEASE: Duration = Duration::from_secs(4);

fn removal() -> v1::Command {
    v1::Command {
        id: "under-the-old-lease".into(),
        expected_revision: None,
        body: Some(v1::command::Body::RemoveOrganisation("adala".into())),
    }
}

cases! {
    a_thawed_leader_does_nothing_under_its_old_lease => {
        let settings = FleetSettings { has_proxies: true, ..Default::default() };
        let fleet = Fleet::start(&settings);
        fleet.wait_until_ready();
        let leader = fleet.leader().expect("a leader");
        let others: Vec<usize> = (0..4).filter(|place| *place != leader).collect();
        fleet.suspend(leader);
        wait_until("another leads", || {
            let outcome = fleet.run_tool_at(&others, &["organisation", "create", "irbid"]);
            outcome.exit_code == 0 || outcome.stderr.contains("exists already")
        });
        thread::sleep(BEYOND_LEASE);
        // Nobody tells it what happened, so only its own clock can hold it back.
        fleet.set_disconnected(leader, true);
        fleet.resume(leader);
        for _ in 0..LOOKS {
            assert_that!(fleet.read_at(leader), none());
            let answer = post(fleet.caller_address(leader), "/v1/chat/completions", "adala-key", BODY);
            let answer = answer.expect("an answer");
            assert_that!((answer.status, answer.header("x-run")), eq((503, Some("not-run"))));
        }
        assert_that!(fleet.propose_at(leader, &removal()), none());
        fleet.set_disconnected(leader, false);
        fleet.wait_until_ready();
        assert_that!(organisations(&fleet), elements_are![
            eq("adala"), eq("flood"), eq("irbid"), eq("swanfold")
        ]);
    };
    an_instance_frozen_beyond_its_lease_is_out_and_returns => {
        let settings = FleetSettings { control_lines: "lease = 1s".into(), ..Default::default() };
        let fleet = Fleet::start_empty(&settings);
        fleet.wait_until_ready();
        fleet.suspend(3);
        wait_until("i3 is out", || {
            let listed = fleet.run_tool_at(&[0, 1, 2], &["--json", "instance", "list"]).json();
            listed.as_array().is_some_and(|rows| rows.len() == 3)
        });
        fleet.resume(3);
        fleet.wait_until_ready();
    };
}
