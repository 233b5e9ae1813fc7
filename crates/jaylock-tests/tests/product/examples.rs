use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use jaylock_settings::Settings;
use jaylock_tests::cases;

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Reads the settings of every instance of an example fleet.
fn read_fleet(name: &str) -> Vec<Settings> {
    let entries = fs::read_dir(example_path(name)).expect("the folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .map(|path| Settings::read(path).expect("valid settings"))
        .collect()
}

fn count_distinct<T: Ord>(mut items: Vec<T>) -> usize {
    items.sort();
    items.dedup();
    items.len()
}

/// Checks that the settings of all instances of a fleet are consistent.
fn check_fleet(fleet: &[Settings], domains: usize) {
    let addresses = fleet.iter().flat_map(|s| {
        let own = &s.instance;
        [
            own.caller_address,
            Some(own.peer_address),
            own.metrics_address,
        ]
    });
    let addresses: Vec<_> = addresses.flatten().collect();
    assert_that!(addresses, len(eq(fleet.len() * 3)));
    assert_that!(count_distinct(addresses), eq(fleet.len() * 3));
    assert!(fleet.iter().all(|s| {
        s.instance
            .caller_address
            .is_some_and(|a| a.ip().is_loopback())
    }));
    assert_that!(
        count_distinct(fleet.iter().map(|s| &s.instance.id).collect()),
        eq(fleet.len())
    );
    assert_that!(
        count_distinct(fleet.iter().map(|s| &s.instance.domain).collect()),
        eq(domains)
    );
    let replicas = &fleet[0].control.replicas;
    assert!(fleet.iter().all(|s| s.control.replicas == *replicas));
    assert!(fleet.iter().all(|s| s.security == fleet[0].security));
    assert_that!(
        count_distinct(replicas.iter().map(|r| &r.domain).collect()),
        eq(3)
    );
    let is_listed = |s: &&Settings| replicas.iter().any(|r| r.instance == s.instance.id);
    assert_that!(fleet.iter().filter(is_listed).count(), eq(3));
    let spares = fleet
        .iter()
        .filter(|s| s.instance.data.is_some() && !is_listed(s));
    assert_that!(spares.count(), ge(1));
}

cases! {
    single_instance_is_valid => {
        let settings = Settings::read(example_path("single.ini")).expect("valid settings");
        assert_that!(settings.control.replicas, len(eq(1)));
        assert!(settings.instance.data.is_some());
    };
    adala_fleet_is_valid => {
        let fleet = read_fleet("adala");
        assert_that!(fleet, len(eq(9)));
        check_fleet(&fleet, 4);
    };
    swanfold_fleet_is_valid => {
        let fleet = read_fleet("swanfold");
        assert_that!(fleet, len(eq(8)));
        check_fleet(&fleet, 3);
    };
}
