//! Instances with disks that are replaced, one after the other, by empty ones at other addresses, under callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;
use serde_json::json;

use crate::harness::{
    Caller, FakeBackend, FleetSettings, KEY, OTHER_KEY, ReceivedRequest, TestFleet, document,
    wait_until,
};

/// Instances with disks, all of which are replaced.
const CONTROL_COUNT: usize = 3;
/// How long an instance may be lost before another one takes its place.
const REPLACE_AFTER: Duration = Duration::from_secs(1);
/// Time from a replacement to the next one, in which the successor becomes a voter.
const CATCH_UP_TIME: Duration = Duration::from_millis(3500);
/// Events of a stream that is under way while an instance is replaced, and the time between two.
const EVENTS: u64 = 15;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// A call and its result.
struct CallRecord {
    request: String,
    status: u16,
    body: String,
}

/// Sends calls with identifiers of their own until it is stopped.
fn call_until_stopped(
    caller: Caller,
    name: &'static str,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Vec<CallRecord>> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut records = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let request = format!("{name}{:04}", records.len());
            let response = caller.clone().with("Attempt-Id", &request).send();
            records.push(CallRecord {
                request,
                status: response.status(),
                body: response.body,
            });
            thread::sleep(CALL_INTERVAL);
        }
        records
    })
}

fn reply(request: &ReceivedRequest) -> crate::harness::Reply {
    if request.request_line.contains("/stream/") {
        request.paced_events(EVENTS, EVENT_INTERVAL)
    } else {
        request.respond("200 OK", "done")
    }
}

cases! {
    callers_notice_nothing_while_all_instances_with_disks_are_replaced => {
        let mut fleet = TestFleet::start_with(FleetSettings {
            control_count: CONTROL_COUNT,
            replace_after: REPLACE_AFTER,
            ..FleetSettings::default()
        });
        fleet.configure(&document(1));
        let mut newest = document(2);
        newest["tenants"][0]["api_keys"] = json!([OTHER_KEY]);
        fleet.configure(&newest);
        wait_until("the removed key is refused", || fleet.caller().with("Key", KEY).send().status() == 401);
        let backend = FakeBackend::start(&fleet, "b1", reply);
        let gone = FakeBackend::start(&fleet, "b2", reply);
        assert_that!(gone.deregister(&fleet), eq(200));
        let received_before = gone.received().len();

        let stop = Arc::new(AtomicBool::new(false));
        let caller = fleet.caller().with("Key", OTHER_KEY);
        let filings = call_until_stopped(caller.clone().request("POST", "/once/1"), "f", &stop);
        let look_ups = call_until_stopped(caller.clone().request("GET", "/look/1"), "l", &stop);
        for at in 0..CONTROL_COUNT {
            let streaming = caller.clone().request("POST", "/stream/1").with("Attempt-Id", &format!("s{at}"));
            let stream = thread::spawn(move || streaming.send());
            thread::sleep(EVENT_INTERVAL * 3);
            fleet.replace_instance(at);
            backend.redirect_heartbeats(fleet.control_address((at + 1) % CONTROL_COUNT));
            thread::sleep(CATCH_UP_TIME);
            let stream = stream.join().expect("a response");
            expect_that!((stream.status(), stream.is_complete), eq((200, true)));
            expect_that!(stream.body.matches("id: ").count() as u64, eq(EVENTS));
        }
        stop.store(true, Ordering::Relaxed);

        let filings = filings.join().expect("filings");
        let received = backend.received();
        let runs = |request: &str| received.iter().filter(|r| r.header("attempt-id") == request).count();
        for call in filings {
            let expected = usize::from(call.status == 200);
            expect_that!(call.status, any!(eq(200), eq(503)));
            expect_that!(runs(&call.request), eq(expected), "{}", call.request);
        }
        let look_ups = look_ups.join().expect("look-ups");
        let served = look_ups.iter().filter(|call| call.status == 200);
        expect_that!(served.clone().count() * 10, ge(look_ups.len() * 9));
        for call in served {
            expect_that!(call.body.as_str(), eq("done"));
        }
        expect_that!(fleet.caller().with("Key", KEY).send().status(), eq(401));
        expect_that!(gone.received().len(), eq(received_before));
        let text = newest.to_string();
        for at in 0..CONTROL_COUNT {
            wait_until("the document is read back", || {
                fleet.read_document(at).is_some_and(|a| a.status == 200 && a.body == text)
            });
        }
        let mut next = newest.clone();
        next["version"] = json!(3);
        wait_until("a change is acknowledged", || fleet.put_document(0, &next) == 200);
    };
}
