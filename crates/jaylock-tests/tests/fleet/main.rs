//! The replicated configuration on real processes: kills, races, freezes, cuts and lost disks.

mod cuts;
mod freezes;
mod malformed;
mod operators;
mod reports;
mod survival;

use jaylock_tests::fleet::Fleet;
use serde_json::Value;

/// A request for a short answer of a model.
const BODY: &str =
    r#"{"model":"dossier","messages":[{"role":"user","content":"fee"}],"max_tokens":8}"#;

/// Adds an organisation with a key that is made of its name.
fn create(fleet: &Fleet, id: &str) {
    let key = format!("{id}-key-1");
    let outcome = fleet.run_tool(&["organisation", "create", id, "--key", &key]);
    assert_eq!(outcome.exit_code, 0, "{id} is created: {}", outcome.stderr);
}

/// Names of the organisations in the newest configuration.
fn organisations(fleet: &Fleet) -> Vec<String> {
    let listed = fleet.run_tool(&["--json", "organisation", "list"]).json();
    let rows = listed.as_array().map_or(&[][..], Vec::as_slice);
    rows.iter()
        .filter_map(|row| row["id"].as_str().map(String::from))
        .collect()
}

/// The newest configuration as programs see it.
fn shown(fleet: &Fleet) -> Value {
    fleet.run_tool(&["--json", "config", "show"]).json()
}

/// The newest revision.
fn revision(fleet: &Fleet) -> u64 {
    shown(fleet)["configuration"]["revision"]
        .as_u64()
        .expect("a revision")
}
