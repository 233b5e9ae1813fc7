//! Calls that evacuate and restore failure domains.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::get;

use crate::harness::{TestFleet, document, send_call, send_call_within, wait_until};

/// Time for which a call is sent to a suspended instance before its caller asks another one.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time of a pause that is too short for an instance to count as suspended.
const SHORT_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a resumed instance has carried out what it read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Sends a call to an instance and returns the status and the body, or 0 without a response.
fn call(fleet: &TestFleet, at: usize, method: &str, domain: &str) -> (u16, String) {
    let path = format!("/-/evacuation/{domain}");
    let response = send_call(fleet.control_address(at), method, &path, "");
    response.map_or((0, String::new()), |r| (r.status, r.body))
}

fn evacuate(fleet: &TestFleet, at: usize, domain: &str) -> u16 {
    call(fleet, at, "POST", domain).0
}

fn restore(fleet: &TestFleet, at: usize, domain: &str) -> u16 {
    call(fleet, at, "DELETE", domain).0
}

/// Whether an instance has a domain evacuated in its active configuration; `None` if it has no order for it.
fn metric(fleet: &TestFleet, at: usize, domain: &str) -> Option<bool> {
    let text = get(fleet.metrics_address(at), "/metrics").ok()?.body;
    let mut lines = text.lines();
    let prefix = format!("jaylock_domain_evacuated{{domain=\"{domain}\"");
    let line = lines.find(|line| line.starts_with(&prefix))?;
    Some(line.ends_with(" 1"))
}

/// Number of log lines of an instance about a domain that was evacuated or restored.
fn lines(fleet: &TestFleet, at: usize, change: &str, domain: &str) -> usize {
    let log = fleet.log(at);
    let is_change = |line: &&str| line.contains(&format!("a failure domain is {change}"));
    let changes = log.lines().filter(is_change);
    changes
        .filter(|line| line.contains(&format!("domain={domain}")))
        .count()
}

/// Sends a call on a connection that stays open.
fn send_and_wait(fleet: &TestFleet, at: usize, domain: &str) -> TcpStream {
    let address = fleet.control_address(at);
    let mut stream = TcpStream::connect(address).expect("a connection");
    let text = format!(
        "POST /-/evacuation/{domain} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).expect("the call is sent");
    stream
}

fn wait_until_active(fleet: &TestFleet, count: usize, domain: &str, is_evacuated: bool) {
    for at in 0..count {
        wait_until("the order is active", || {
            metric(fleet, at, domain) == Some(is_evacuated)
        });
    }
}

cases! {
    // Guards against orders that are acknowledged without effect, and against repeated ones that fail or are logged again.
    orders_are_acknowledged_logged_and_repeatable => {
        let fleet = TestFleet::minimal();
        for (method, change, is_evacuated) in [("POST", "evacuated", true), ("DELETE", "restored", false)] {
            for _ in 0..3 {
                assert_that!(call(&fleet, 0, method, "d1"), eq(&(200, "{}".into())));
            }
            wait_until_active(&fleet, 2, "d1", is_evacuated);
            for at in 0..2 {
                wait_until("the change is logged", || lines(&fleet, at, change, "d1") == 1);
            }
        }
        // A document leaves the orders as they are.
        assert_that!(evacuate(&fleet, 0, "d1"), eq(200));
        fleet.configure(&document(2));
        assert_that!(metric(&fleet, 0, "d1"), some(eq(true)));
    };

    // Guards against a misspelt name that is accepted, or refused in a way that callers repeat.
    unknown_and_malformed_names_are_refused_with_the_reason => {
        let fleet = TestFleet::minimal();
        for method in ["POST", "DELETE"] {
            for (name, reason) in [("d7", "no instance ever registered"), ("d1/x", "is no failure domain name"), ("", "is no failure domain name")] {
                let (status, body) = call(&fleet, 0, method, name);
                expect_that!(status, eq(400), "{method} {name}");
                expect_that!(body, contains_substring(reason));
            }
        }
        expect_that!(call(&fleet, 0, "GET", "d1").0, eq(404));
    };

    // Guards against orders that are kept in memory only, and against routers that serve without them after a start.
    order_outlasts_a_restart_of_all_instances => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        assert_that!(evacuate(&fleet, 1, "d3"), eq(200));
        (0..4).for_each(|at| fleet.kill(at));
        (0..4).for_each(|at| fleet.start_instance(at, false));
        wait_until("the router is ready", || fleet.is_ready(3));
        assert_that!(metric(&fleet, 3, "d3"), some(eq(true)));
        wait_until_active(&fleet, 4, "d3", true);
    };

    // Guards against an order that is acknowledged without a majority, or refused as if it were invalid.
    order_without_a_majority_is_not_confirmed => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        fleet.kill(0);
        fleet.kill(1);
        for method in ["POST", "DELETE"] {
            assert_that!(call(&fleet, 2, method, "d3").0, eq(503));
        }
    };

    // Guards against a call that waited in a suspended instance and evacuates the domain after its withdrawal.
    call_that_waited_in_a_suspended_instance_changes_nothing => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        wait_until("another instance takes orders", || restore(&fleet, 0, "d1") == 200);
        fleet.process(2).suspend();
        // One caller waits for its response, and others have gone. The withdrawals follow an order elsewhere, or none.
        let mut waiting = [send_and_wait(&fleet, 2, "d0"), send_and_wait(&fleet, 2, "d1")];
        for domain in ["d0", "d1"] {
            let path = format!("/-/evacuation/{domain}");
            send_call_within(fleet.control_address(2), "POST", &path, "", CALL_TIMEOUT);
        }
        wait_until("the domain is evacuated", || evacuate(&fleet, 0, "d0") == 200);
        // Changes that arrive together are logged as one.
        wait_until("the change is logged", || lines(&fleet, 0, "evacuated", "d0") == 1);
        for domain in ["d0", "d1"] {
            wait_until("the withdrawal is acknowledged", || restore(&fleet, 0, domain) == 200);
        }
        fleet.process(2).resume();
        for stream in &mut waiting {
            let mut response = String::new();
            stream.read_to_string(&mut response).expect("a response");
            expect_that!(response, starts_with("HTTP/1.1 503"));
        }
        thread::sleep(SETTLE_TIME);
        expect_that!((metric(&fleet, 0, "d0"), metric(&fleet, 0, "d1")), eq((Some(false), None)));
        expect_that!((lines(&fleet, 0, "evacuated", "d0"), lines(&fleet, 0, "evacuated", "d1")), eq((1, 0)));
        // The instance takes orders again.
        assert_that!(evacuate(&fleet, 2, "d1"), eq(200));
        wait_until_active(&fleet, 4, "d1", true);
    };

    // Guards against calls that are carried out after their callers have gone, perhaps to withdraw them elsewhere.
    call_whose_caller_has_gone_before_it_is_read_changes_nothing => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        wait_until("another instance takes orders", || restore(&fleet, 0, "d1") == 200);
        for _ in 0..5 {
            // Too short for the instance to notice.
            fleet.process(2).suspend();
            let address = fleet.control_address(2);
            send_call_within(address, "POST", "/-/evacuation/d1", "", SHORT_PAUSE);
            fleet.process(2).resume();
            thread::sleep(SHORT_PAUSE);
        }
        thread::sleep(SETTLE_TIME);
        expect_that!(metric(&fleet, 0, "d1"), none());
    };
}
