use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, wait_until};
use serde_json::Value;

use crate::{configuration, create_organisation, organisations, revision};

/// Number of changes before all instances are restarted.
const CHANGE_COUNT: usize = 300;

/// Returns the generation of the replica on an instance if the replica is a voter.
fn voter_generation(configuration: &Value, id: &str) -> Option<String> {
    let replicas = configuration["replicas"].as_array()?;
    let replica = replicas
        .iter()
        .find(|r| r["instance"] == *id && r["voter"] == true)?;
    replica["generation"].as_str().map(String::from)
}

cases! {
    changes_survive_leader_crashes => {
        let mut fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        for round in 0..3 {
            create_organisation(&fleet, &format!("o{round}"));
            let leader = fleet.leader().expect("a leader");
            fleet.kill(leader);
            create_organisation(&fleet, &format!("p{round}"));
            fleet.wait_until_ready();
            fleet.restart(leader);
            fleet.wait_until_ready();
        }
        assert_that!(organisations(&fleet), eq(&["o0", "o1", "o2", "p0", "p1", "p2"].map(String::from)));
        assert_that!(revision(&fleet), eq(6));
    };
    replica_without_its_data_rejoins_under_a_new_generation => {
        let mut fleet = Fleet::start_empty(&FleetSettings { instances: 3, ..Default::default() });
        fleet.wait_until_ready();
        create_organisation(&fleet, "zarqa");
        let before = voter_generation(&configuration(&fleet), "i1").expect("i1 is a voter");
        fleet.kill(1);
        fleet.delete_data(1);
        fleet.restart(1);
        wait_until("i1 is a voter under a new generation", || {
            let now = voter_generation(&configuration(&fleet), "i1");
            now.is_some_and(|now| now != before)
        });
        // The new replica is now needed for a majority.
        fleet.kill(2);
        create_organisation(&fleet, "irbid");
        assert_that!(organisations(&fleet), elements_are![eq("irbid"), eq("zarqa")]);
    };
    restart_of_all_instances_keeps_hundreds_of_changes => {
        let settings = FleetSettings { control_lines: "snapshot_entries = 100".into(), ..Default::default() };
        let mut fleet = Fleet::start_empty(&settings);
        fleet.wait_until_ready();
        for change in 0..CHANGE_COUNT {
            let weight = (change + 1).to_string();
            let command = if change == 0 { "create" } else { "update" };
            let output = fleet.run_tool(&["organisation", command, "zarqa", "--weight", &weight]);
            assert_that!(output.exit_code, eq(0), "{}", output.stderr);
        }
        let before = configuration(&fleet);
        for index in 0..4 {
            fleet.kill(index);
        }
        for index in 0..4 {
            fleet.restart(index);
        }
        fleet.wait_until_ready();
        let after = configuration(&fleet);
        assert_that!(after["organisations"], eq(&before["organisations"]));
        assert_that!(after["organisations"][0]["weight"], eq(&Value::from(CHANGE_COUNT)));
        assert_that!(revision(&fleet), eq(CHANGE_COUNT as u64));
    };
}
