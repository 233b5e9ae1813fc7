use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, wait_until};
use serde_json::Value;

use crate::{create, organisations, revision, shown};

/// Changes before the whole fleet is restarted.
const CHANGES: usize = 300;

/// Generation of the replica on an instance, once it counts for majorities.
fn generation(shown: &Value, id: &str) -> Option<String> {
    let replicas = shown["replicas"].as_array()?;
    let own = replicas
        .iter()
        .find(|r| r["instance"] == *id && r["voter"] == true)?;
    own["generation"].as_str().map(String::from)
}

cases! {
    a_killed_leader_loses_nothing => {
        let mut fleet = Fleet::start_empty(&FleetSettings::default());
        fleet.wait_until_ready();
        for round in 0..3 {
            create(&fleet, &format!("o{round}"));
            let leader = fleet.leader().expect("a leader");
            fleet.kill(leader);
            create(&fleet, &format!("p{round}"));
            fleet.wait_until_ready();
            fleet.restart(leader);
            fleet.wait_until_ready();
        }
        assert_that!(organisations(&fleet), eq(&["o0", "o1", "o2", "p0", "p1", "p2"].map(String::from)));
        assert_that!(revision(&fleet), eq(6));
    };
    a_deleted_data_folder_returns_as_a_new_generation => {
        let mut fleet = Fleet::start_empty(&FleetSettings { instances: 3, ..Default::default() });
        fleet.wait_until_ready();
        create(&fleet, "zarqa");
        let before = generation(&shown(&fleet), "i1").expect("i1 is a voter");
        fleet.kill(1);
        fleet.delete_data(1);
        fleet.restart(1);
        wait_until("i1 votes under a new generation", || {
            let now = generation(&shown(&fleet), "i1");
            now.is_some_and(|now| now != before)
        });
        // The majority now rests on the new replica.
        fleet.kill(2);
        create(&fleet, "irbid");
        assert_that!(organisations(&fleet), elements_are![eq("irbid"), eq("zarqa")]);
    };
    the_whole_fleet_restarts_after_hundreds_of_changes => {
        let settings = FleetSettings { control_lines: "snapshot_entries = 100".into(), ..Default::default() };
        let mut fleet = Fleet::start_empty(&settings);
        fleet.wait_until_ready();
        for change in 0..CHANGES {
            let weight = (change + 1).to_string();
            let verb = if change == 0 { "create" } else { "update" };
            let outcome = fleet.run_tool(&["organisation", verb, "zarqa", "--weight", &weight]);
            assert_that!(outcome.exit_code, eq(0), "{}", outcome.stderr);
        }
        let before = shown(&fleet);
        for place in 0..4 {
            fleet.kill(place);
        }
        for place in 0..4 {
            fleet.restart(place);
        }
        fleet.wait_until_ready();
        let after = shown(&fleet);
        assert_that!(after["organisations"], eq(&before["organisations"]));
        assert_that!(after["organisations"][0]["weight"], eq(&Value::from(CHANGES)));
        assert_that!(revision(&fleet), eq(CHANGES as u64));
    };
}
