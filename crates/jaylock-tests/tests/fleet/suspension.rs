use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_rpc::v1;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, post, wait_until};

use crate::{CHAT_BODY, organisations};

/// Number of checks of a resumed leader.
const CHECKS: usize = 20;

/// Time after which every lease of the suspended instance has expired.
const LEASE_EXPIRY: Duration = Duration::from_secs(4);

fn remove_organisation() -> v1::Command {
    v1::Command {
        id: "under-the-old-lease".into(),
        expected_revision: None,
        body: Some(v1::command::Body::RemoveOrganisation("adala".into())),
    }
}

cases! {
    resumed_leader_refuses_requests_after_its_lease_expired => {
        let settings = FleetSettings { has_proxies: true, ..Default::default() };
        let fleet = Fleet::start(&settings);
        fleet.wait_until_ready();
        let leader = fleet.leader().expect("a leader");
        let others: Vec<usize> = (0..4).filter(|index| *index != leader).collect();
        fleet.suspend(leader);
        wait_until("another instance is the leader", || {
            let output = fleet.run_tool_at(&others, &["organisation", "create", "irbid"]);
            output.exit_code == 0 || output.stderr.contains("exists already")
        });
        thread::sleep(LEASE_EXPIRY);
        // No message reaches the old leader, so only its own clock can show that the lease has expired.
        fleet.set_disconnected(leader, true);
        fleet.resume(leader);
        for _ in 0..CHECKS {
            assert_that!(fleet.read_at(leader), none());
            let response = post(fleet.caller_address(leader), "/v1/chat/completions", "adala-key", CHAT_BODY);
            let response = response.expect("a response");
            assert_that!((response.status, response.header("x-run")), eq((503, Some("not-run"))));
        }
        assert_that!(fleet.propose_at(leader, &remove_organisation()), none());
        fleet.set_disconnected(leader, false);
        fleet.wait_until_ready();
        assert_that!(organisations(&fleet), elements_are![
            eq("adala"), eq("flood"), eq("irbid"), eq("swanfold")
        ]);
    };
    instance_suspended_beyond_its_lease_is_removed_and_rejoins => {
        let settings = FleetSettings { control_lines: "lease = 1s".into(), ..Default::default() };
        let fleet = Fleet::start_empty(&settings);
        fleet.wait_until_ready();
        fleet.suspend(3);
        wait_until("i3 is removed", || {
            let instances = fleet.run_tool_at(&[0, 1, 2], &["--json", "instance", "list"]).json();
            instances.as_array().is_some_and(|rows| rows.len() == 3)
        });
        fleet.resume(3);
        fleet.wait_until_ready();
    };
}
