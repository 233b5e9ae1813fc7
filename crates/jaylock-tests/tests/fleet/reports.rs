use std::fs;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, HttpResponse, post, wait_until};
use serde_json::Value;

use crate::BODY;

fn ask(fleet: &Fleet) -> HttpResponse {
    let answer = post(
        fleet.caller_address(0),
        "/v1/chat/completions",
        "adala-key",
        BODY,
    );
    answer.expect("an answer")
}

/// One instance that does everything, with an engine, once it serves.
fn served() -> Fleet {
    let mut fleet = Fleet::start(&FleetSettings::single());
    fleet.start_engine("engine-1", &[]);
    wait_until("the model is served", || ask(&fleet).status == 200);
    fleet
}

/// The row of a listing whose first column has a value.
fn row<'a>(listing: &'a Value, column: &str, value: &str) -> &'a Value {
    let rows = listing.as_array().map_or(&[][..], Vec::as_slice);
    let found = rows.iter().find(|row| row[column] == *value);
    found.unwrap_or_else(|| panic!("{value} stands in {listing}"))
}

cases! {
    a_request_is_explained => {
        let fleet = served();
        let answer = ask(&fleet);
        let id = answer.header("x-request-id").expect("an id");
        let outcome = fleet.run_tool(&["explain", id]);
        assert_that!(outcome.exit_code, eq(0), "{}", outcome.stderr);
        assert_that!(outcome.stdout, contains_substring("engine-1"));
        let unknown = fleet.run_tool(&["explain", "no-such-request"]);
        assert_that!(unknown.exit_code, eq(1));
    };
    burn_and_shares_are_reported => {
        let fleet = served();
        // The end of a request reaches the scheduler a little after its caller.
        wait_until("the tokens are counted", || {
            let pools = fleet.run_tool(&["--json", "pool", "list"]).json();
            let own = row(&pools["organisations"], "organisation", "adala");
            own["tokens"].as_u64() >= Some(8)
        });
        let page = fleet.folder().join("burn.html");
        let path = page.to_str().expect("a path");
        let burn = fleet.run_tool(&["--json", "report", "burn", "--html", path]);
        assert_that!(burn.exit_code, eq(0), "{}", burn.stderr);
        let burn = burn.json();
        let line = row(&burn, "organisation", "adala");
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
    a_drained_backend_server_gets_nothing_new => {
        let fleet = served();
        assert_that!(fleet.run_tool(&["backend", "drain", "engine-1"]).exit_code, eq(0));
        wait_until("nothing new is given to it", || ask(&fleet).status == 503);
        assert_that!(ask(&fleet).header("x-run"), some(eq("not-run")));
        assert_that!(fleet.run_tool(&["backend", "undrain", "engine-1"]).exit_code, eq(0));
        wait_until("it serves again", || ask(&fleet).status == 200);
        let backends = fleet.run_tool(&["--json", "backend", "list"]).json();
        assert_that!(row(&backends, "id", "engine-1")["pool"].as_str(), some(eq("jaylock-pool")));
    };
}
