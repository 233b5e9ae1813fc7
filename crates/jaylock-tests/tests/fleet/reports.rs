use std::fs;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, HttpResponse, post, wait_until};
use serde_json::Value;

use crate::CHAT_BODY;

fn send_chat(fleet: &Fleet) -> HttpResponse {
    let response = post(
        fleet.caller_address(0),
        "/v1/chat/completions",
        "adala-key",
        CHAT_BODY,
    );
    response.expect("a response")
}

/// Starts one instance with an engine and waits until the model is served.
fn start_serving() -> Fleet {
    let mut fleet = Fleet::start(&FleetSettings::single());
    fleet.start_engine("engine-1", &[]);
    wait_until("the model is served", || send_chat(&fleet).status == 200);
    fleet
}

/// Returns the row of a list with a value in a column.
fn find_row<'a>(list: &'a Value, column: &str, value: &str) -> &'a Value {
    let rows = list.as_array().map_or(&[][..], Vec::as_slice);
    let row = rows.iter().find(|row| row[column] == *value);
    row.unwrap_or_else(|| panic!("{value} is not in {list}"))
}

cases! {
    explains_a_request => {
        let fleet = start_serving();
        let response = send_chat(&fleet);
        let id = response.header("x-request-id").expect("an id");
        let output = fleet.run_tool(&["explain", id]);
        assert_that!(output.exit_code, eq(0), "{}", output.stderr);
        assert_that!(output.stdout, contains_substring("engine-1"));
        let unknown = fleet.run_tool(&["explain", "no-such-request"]);
        assert_that!(unknown.exit_code, eq(1));
    };
    reports_burn_and_organisation_tokens => {
        let fleet = start_serving();
        // The end of a request reaches the scheduler after the response has reached the caller.
        wait_until("the tokens are counted", || {
            let pools = fleet.run_tool(&["--json", "pool", "list"]).json();
            let tokens = find_row(&pools["organisations"], "organisation", "adala");
            tokens["tokens"].as_u64() >= Some(8)
        });
        let page = fleet.folder().join("burn.html");
        let path = page.to_str().expect("a path");
        let burn = fleet.run_tool(&["--json", "report", "burn", "--html", path]);
        assert_that!(burn.exit_code, eq(0), "{}", burn.stderr);
        let burn = burn.json();
        let line = find_row(&burn, "organisation", "adala");
        assert_that!(line["objective"].as_str(), some(eq("availability")));
        assert_that!(line["total"].as_u64(), some(ge(1)));
        let text = fs::read_to_string(page).expect("the page");
        assert_that!(text, contains_substring("<svg"));
        for link in ["src=\"http", "href=\"http", "@import"] {
            assert_that!(text, not(contains_substring(link)));
        }
        let events = fleet.run_tool(&["--json", "report", "events"]).json();
        assert_that!(events.as_array().map(Vec::len), some(ge(1)));
    };
    drained_backend_server_receives_no_new_requests => {
        let fleet = start_serving();
        assert_that!(fleet.run_tool(&["backend", "drain", "engine-1"]).exit_code, eq(0));
        wait_until("requests are refused", || send_chat(&fleet).status == 503);
        assert_that!(send_chat(&fleet).header("x-run"), some(eq("not-run")));
        assert_that!(fleet.run_tool(&["backend", "undrain", "engine-1"]).exit_code, eq(0));
        wait_until("the model is served again", || send_chat(&fleet).status == 200);
        let backends = fleet.run_tool(&["--json", "backend", "list"]).json();
        assert_that!(find_row(&backends, "id", "engine-1")["pool"].as_str(), some(eq("jaylock-pool")));
    };
}
