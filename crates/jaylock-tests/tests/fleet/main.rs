//! Fleets of real processes: crashes, races, suspended and disconnected instances and lost disks.

mod disconnection;
mod malformed;
mod operators;
mod recovery;
mod reports;
mod suspension;

use jaylock_tests::fleet::Fleet;
use serde_json::Value;

/// Body of a request for a short chat completion.
const CHAT_BODY: &str =
    r#"{"model":"dossier","messages":[{"role":"user","content":"fee"}],"max_tokens":8}"#;

/// Creates an organisation with the key `ID-key-1`.
fn create_organisation(fleet: &Fleet, id: &str) {
    let key = format!("{id}-key-1");
    let output = fleet.run_tool(&["organisation", "create", id, "--key", &key]);
    assert_eq!(output.exit_code, 0, "{id} is created: {}", output.stderr);
}

/// Returns the ids of the organisations in the newest configuration.
fn organisations(fleet: &Fleet) -> Vec<String> {
    let list = fleet.run_tool(&["--json", "organisation", "list"]).json();
    let rows = list.as_array().map_or(&[][..], Vec::as_slice);
    rows.iter()
        .filter_map(|row| row["id"].as_str().map(String::from))
        .collect()
}

/// Returns the output of `config show` as JSON.
fn configuration(fleet: &Fleet) -> Value {
    fleet.run_tool(&["--json", "config", "show"]).json()
}

/// Returns the newest revision.
fn revision(fleet: &Fleet) -> u64 {
    configuration(fleet)["configuration"]["revision"]
        .as_u64()
        .expect("a revision")
}
