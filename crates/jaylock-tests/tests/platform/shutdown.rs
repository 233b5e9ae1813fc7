//! An instance that gets SIGTERM refuses what it has no time for, answers what it has taken, and ends in time.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::fleet::send_in_parts;
use jaylock_tests::{Process, cases};
use serde_json::{Value, json};

use crate::harness::{
    Caller, CallerResponse, FakeBackend, FleetSettings, ReceivedRequest, TestFleet, document,
    wait_until,
};

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of events in a stream, which takes 4.5 s.
const EVENT_COUNT: usize = 19;
/// Slots of a backend server.
const SLOTS: usize = 8;
/// Backend servers, enough for all streams that run at once.
const BACKENDS: [&str; 8] = ["b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8"];
/// Lease that outlasts a test.
const LONG_LEASE: Duration = Duration::from_mins(2);

/// Returns a document whose routes set no bound that a test reaches.
fn patient_document() -> Value {
    let mut document = document(1);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(20_000);
        route["slo_ms"] = json!(20_000);
    }
    document
}

/// Starts backend servers whose streams take 4.5 s, and waits until they serve.
fn start_streaming_backends(fleet: &TestFleet) -> Vec<FakeBackend> {
    let reply = |r: &ReceivedRequest| {
        if r.request_line.starts_with("POST /stream/") {
            r.paced_events(EVENT_COUNT as u64, EVENT_INTERVAL)
        } else {
            r.respond("200 OK", "done")
        }
    };
    let start = |id| FakeBackend::start(fleet, id, reply);
    let backends = BACKENDS.into_iter().map(start).collect();
    wait_until("the backend servers serve", || {
        fleet.caller().send().status() == 200
    });
    backends
}

/// A process that got SIGTERM and gets SIGKILL when its time is over, as on the platform.
struct Shutdown {
    waiting: Option<JoinHandle<bool>>,
}

impl Shutdown {
    /// Sends SIGTERM to a process that must have ended after `stop`.
    fn start(process: Process, stop: Duration) -> Self {
        let waiting = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            let status = runtime.block_on(process.terminate_or_kill(stop));
            status.is_some()
        });
        Self {
            waiting: Some(waiting),
        }
    }

    /// Whether the process has ended or was killed.
    fn is_over(&self) -> bool {
        self.waiting.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits for the end; returns false if the process was killed.
    fn wait(&mut self) -> bool {
        let waiting = self.waiting.take().expect("a shutdown");
        waiting.join().expect("an end")
    }
}

impl Drop for Shutdown {
    fn drop(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            let _ = waiting.join();
        }
    }
}

/// Requests a stream at each interval, on a new connection, until the first 503 or until the process ends.
///
/// Calls `on_refusal` after the first 503 and returns all responses, after their ends.
fn stream_until_refusal(
    caller: &Caller,
    shutdown: &Shutdown,
    on_refusal: impl FnOnce(),
) -> Vec<io::Result<CallerResponse>> {
    let (sender, responses) = channel();
    let mut received = Vec::new();
    while !is_refused(&received) && !shutdown.is_over() {
        let (caller, sender) = (caller.clone(), sender.clone());
        thread::spawn(move || {
            let _ = sender.send(caller.try_send());
        });
        thread::sleep(REQUEST_INTERVAL);
        received.extend(responses.try_iter());
    }
    if is_refused(&received) {
        on_refusal();
    }
    drop(sender);
    received.extend(responses.iter());
    received
}

/// Whether a request was refused.
fn is_refused(responses: &[io::Result<CallerResponse>]) -> bool {
    let mut responses = responses.iter().flatten();
    responses.any(|response| response.status() == 503)
}

/// Numbers of events that the callers of admitted streams received, where these were not complete.
fn incomplete(responses: &[io::Result<CallerResponse>]) -> Vec<usize> {
    let events = |response: &CallerResponse| response.body.matches("id: ").count();
    let is_whole = |r: &CallerResponse| r.is_complete && events(r) == EVENT_COUNT;
    let incomplete = responses.iter().filter_map(|response| match response {
        Ok(response) if response.status() == 503 && response.is_complete => None,
        Ok(response) if response.status() == 200 && is_whole(response) => None,
        Ok(response) => Some(events(response)),
        Err(_) => Some(0),
    });
    incomplete.collect()
}

/// Whether a stream was admitted.
fn is_admitted(responses: &[io::Result<CallerResponse>]) -> bool {
    responses.iter().flatten().any(|r| r.status() == 200)
}

/// Waits until a router refuses new requests or has ended.
///
/// A request with an unknown key is refused with 401 before, then with 503.
fn wait_until_refusing(fleet: &TestFleet) {
    let caller = fleet.caller().with("Key", "unknown");
    wait_until("requests are refused", || {
        caller.try_send().map_or(true, |r| r.status() == 503)
    });
}

cases! {
    cuts_no_admitted_stream_when_control_does_not_confirm_the_shutdown => {
        let settings = FleetSettings {
            control_count: 3,
            keep: Duration::from_secs(2),
            lease: LONG_LEASE,
            backend_lease: LONG_LEASE,
            ..FleetSettings::default()
        };
        let stop = settings.stop;
        let mut fleet = TestFleet::start_with(settings);
        fleet.configure(&patient_document());
        let _backends = start_streaming_backends(&fleet);
        let caller = fleet.caller().request("POST", "/stream/1").with("Time-Budget", "15000");
        // Without a majority, control confirms nothing; the scheduler goes on.
        let has_scheduler = |at: &usize| fleet.log(*at).contains("started the scheduler of pool app");
        let suspended: Vec<usize> = (0..3).filter(|at| !has_scheduler(at)).take(2).collect();
        for at in &suspended {
            fleet.process(*at).suspend();
        }
        let mut shutdown = Shutdown::start(fleet.take_process(3), stop);
        let resume = || suspended.iter().for_each(|at| fleet.process(*at).resume());
        let responses = stream_until_refusal(&caller, &shutdown, resume);
        assert_that!(incomplete(&responses), is_empty());
        assert_that!((is_admitted(&responses), is_refused(&responses)), eq((true, true)));
        assert_that!(shutdown.wait(), eq(true));
    };
    refuses_requests_before_it_ends_when_callers_keep_addresses_for_longer => {
        let keep = Duration::from_secs(30);
        let settings = FleetSettings { keep, ..FleetSettings::default() };
        let stop = settings.stop;
        let mut fleet = TestFleet::start_with(settings);
        fleet.configure(&patient_document());
        let _backends = start_streaming_backends(&fleet);
        let caller = fleet.caller().request("POST", "/stream/1").with("Time-Budget", "15000");
        let mut shutdown = Shutdown::start(fleet.take_process(1), stop);
        let responses = stream_until_refusal(&caller, &shutdown, || ());
        assert_that!(incomplete(&responses), is_empty());
        assert_that!((is_admitted(&responses), is_refused(&responses)), eq((true, true)));
        assert_that!(shutdown.wait(), eq(true));
    };
    refuses_a_request_whose_body_arrives_when_requests_are_already_refused => {
        let mut fleet = TestFleet::start(1, 1);
        fleet.configure(&patient_document());
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let caller = fleet.caller().request("POST", "/once/1").with("Time-Budget", "15000").body("content");
        let response = caller.try_send_in_parts(|| {
            fleet.process(1).request_shutdown();
            wait_until_refusing(&fleet);
        });
        assert_that!(response.map(|r| r.status()).ok(), some(eq(503)));
        assert_that!(backend.received(), is_empty());
    };
    refuses_a_request_that_waits_for_a_slot_when_requests_are_refused => {
        let mut fleet = TestFleet::start(1, 1);
        fleet.configure(&patient_document());
        let release = Arc::new(AtomicBool::new(false));
        let is_released = release.clone();
        let backend = FakeBackend::start(&fleet, "b1", move |r| {
            while !is_released.load(Ordering::Relaxed) {
                thread::sleep(REQUEST_INTERVAL);
            }
            r.respond("200 OK", "done")
        });
        let caller = fleet.caller().with("Time-Budget", "15000");
        let send = |path: &str| {
            let caller = caller.clone().request("POST", path);
            thread::spawn(move || caller.try_send())
        };
        let running: Vec<_> = (0..SLOTS).map(|_| send("/once/running")).collect();
        wait_until("all slots are taken", || backend.received().len() == SLOTS);
        let waiting = send("/once/waiting");
        fleet.process(1).request_shutdown();
        wait_until_refusing(&fleet);
        release.store(true, Ordering::Relaxed);
        let status = |sent: JoinHandle<io::Result<CallerResponse>>| sent.join().expect("a caller").map_or(0, |r| r.status());
        assert_that!(status(waiting), eq(503));
        assert_that!(backend.received(), len(eq(SLOTS)));
        assert_that!(running.into_iter().map(status).collect::<Vec<_>>(), each(eq(&200)));
    };
    // Guards against a request that is sent late in a planned stop and cut at its end, so that nobody knows whether it ran.
    refuses_a_request_at_once_that_may_not_be_repeated_and_could_be_cut => {
        let mut fleet = TestFleet::start(1, 1);
        fleet.configure(&patient_document());
        let backend = FakeBackend::start(&fleet, "b1", |_| loop { thread::park() });
        fleet.process(1).request_shutdown();
        wait_until("the shutdown has begun", || !fleet.is_ready(1));
        let caller = fleet.caller().request("POST", "/once/1").with("Time-Budget", "15000");
        let response = caller.try_send().map(|r| (r.status(), r.is_complete));
        assert_that!(response.ok(), some(eq((503, true))));
        assert_that!(backend.received(), is_empty());
    };
    answers_a_request_that_ends_before_the_stop => {
        let mut fleet = TestFleet::start(1, 1);
        fleet.configure(&patient_document());
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        assert_that!(fleet.caller().request("POST", "/once/before").send().status(), eq(200));
        fleet.process(1).request_shutdown();
        wait_until("the shutdown has begun", || !fleet.is_ready(1));
        let send = |path: &str, budget: &str| {
            let caller = fleet.caller().request("POST", path).with("Time-Budget", budget);
            caller.try_send().map_or(0, |r| r.status())
        };
        // Either its deadline comes first, or the route's requests are known to be short.
        assert_that!(send("/once/deadline", "3000"), eq(200));
        assert_that!(send("/once/short", "15000"), eq(200));
        assert_that!(backend.received(), len(eq(3)));
    };
    answers_a_request_explicitly_whose_backend_server_is_silent_when_it_ends => {
        let stop = Duration::from_secs(4);
        let mut fleet = TestFleet::start_with(FleetSettings { stop, ..FleetSettings::default() });
        fleet.configure(&patient_document());
        let backend = FakeBackend::start(&fleet, "b1", |_| loop { thread::park() });
        let caller = fleet.caller().request("POST", "/once/1").with("Time-Budget", "15000");
        let waiting = thread::spawn(move || caller.try_send());
        wait_until("the backend server has the request", || backend.received().len() == 1);
        fleet.process(1).request_shutdown();
        let response = waiting.join().expect("a caller").map(|r| (r.status(), r.is_complete));
        assert_that!(response.ok(), some((any!(eq(502), eq(504)), eq(true))));
    };
    ends_in_time_when_control_does_not_confirm_the_deregistration => {
        let mut fleet = TestFleet::start(1, 1);
        fleet.configure(&patient_document());
        let backends = start_streaming_backends(&fleet);
        let caller = fleet.caller().request("POST", "/stream/1").with("Time-Budget", "15000");
        let running = thread::spawn(move || caller.try_send());
        let is_stream = |r: &ReceivedRequest| r.request_line.starts_with("POST /stream/");
        wait_until("a backend server has the request", || {
            backends.iter().any(|backend| backend.received().iter().any(is_stream))
        });
        fleet.process(0).suspend();
        let mut shutdown = Shutdown::start(fleet.take_process(1), FleetSettings::default().stop);
        assert_that!(shutdown.wait(), eq(true));
        assert_that!(incomplete(&[running.join().expect("a caller")]), is_empty());
    };
    answers_a_call_explicitly_whose_body_has_not_arrived_when_the_instance_ends => {
        let stop = Duration::from_secs(4);
        let mut fleet = TestFleet::start_with(FleetSettings { stop, ..FleetSettings::default() });
        fleet.configure(&document(1));
        let head = b"PUT /-/config HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{";
        let response = send_in_parts(fleet.control_address(0), head, || fleet.process(0).request_shutdown(), b"");
        assert_that!(response.map(|r| r.status).ok(), some(eq(503)));
    };
}
