//! Streams of a service whose backend servers run several versions of their software.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;
use serde_json::{Value, json};

use crate::harness::{
    Caller, CallerResponse, FakeBackend, FleetSettings, ReceivedRequest, Reply, TestFleet,
    document, wait_until,
};

/// Streams that a test begins.
const STREAM_COUNT: u64 = 8;
/// Events of a complete stream.
const EVENT_COUNT: u64 = 30;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Lease that outlasts a test.
const LONG_LEASE: Duration = Duration::from_mins(1);

/// Starts a backend server for each of these versions.
fn start_backends(
    fleet: &TestFleet,
    versions: &[&str],
    reply: fn(&ReceivedRequest) -> Reply,
) -> Vec<FakeBackend> {
    let numbered = versions.iter().enumerate();
    let start = |(n, version): (usize, &&str)| {
        FakeBackend::start_version(fleet, &format!("b{n}"), ("app", version), reply)
    };
    numbered.map(start).collect()
}

/// Breaks off in the fourth event, unless the stream is resumed.
fn broken_once(request: &ReceivedRequest) -> Reply {
    match request.header("last-event-id") {
        "" => request.events(1..=3, Reply::BROKEN_EVENT),
        _ => request.events(4..=6, Reply::LAST_CHUNK),
    }
}

/// Takes over a second, unless the stream is resumed.
fn slow(request: &ReceivedRequest) -> Reply {
    match request.header("last-event-id").parse::<u64>() {
        Ok(last) => request.events(last + 1..=EVENT_COUNT, Reply::LAST_CHUNK),
        Err(_) => request.paced_events(EVENT_COUNT, EVENT_INTERVAL),
    }
}

/// Streams that reached backend servers of more than one version or service.
fn mixed_streams(backends: &[FakeBackend]) -> Vec<String> {
    let mut runs: Vec<(String, (&str, &str))> = Vec::new();
    for backend in backends {
        let kind = (backend.service(), backend.software());
        let received = backend.received().into_iter();
        runs.extend(received.map(|request| (stream_id(&request), kind)));
    }
    runs.sort();
    runs.dedup();
    let pairs = runs.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    pairs.map(|pair| pair[0].0.clone()).collect()
}

/// Identifier of the request that began the stream.
fn stream_id(request: &ReceivedRequest) -> String {
    let resumed = request.header("resumes");
    let own = request.header("attempt-id");
    if resumed.is_empty() { own } else { resumed }.to_owned()
}

/// A caller of a stream at an instance.
fn caller(fleet: &TestFleet, at: usize, id: &str) -> Caller {
    Caller::new(fleet.caller_address(at))
        .request("POST", "/draft/1")
        .with("Attempt-Id", id)
}

fn id_of(stream: u64) -> String {
    format!("9c41d07be2a3{stream:04x}")
}

/// Begins streams at an instance, and returns once all have begun.
fn begin_streams(
    fleet: &TestFleet,
    at: usize,
    backends: &[FakeBackend],
) -> Vec<JoinHandle<CallerResponse>> {
    let begin = |stream| {
        let caller = caller(fleet, at, &id_of(stream));
        thread::spawn(move || caller.send())
    };
    let streams: Vec<_> = (0..STREAM_COUNT).map(begin).collect();
    wait_until("all streams have begun", || {
        let active = backends.iter().map(FakeBackend::active_count);
        active.sum::<usize>() == streams.len()
    });
    thread::sleep(EVENT_INTERVAL * 4);
    streams
}

/// Takes all streams up after their last events, at another instance, and checks that they go on to their ends.
fn check_all_go_on(fleet: &TestFleet, at: usize, streams: Vec<JoinHandle<CallerResponse>>) {
    for (stream, begun) in (0..).zip(streams) {
        let begun = begun.join().expect("a caller");
        let last_event = begun.body.matches("\n\n").count();
        let resumed = take_up(fleet, at, stream, last_event);
        assert_that!((resumed.status(), resumed.is_complete), eq((200, true)));
    }
}

/// Waits until the callers of all streams have their responses.
fn finish(streams: Vec<JoinHandle<CallerResponse>>) {
    for stream in streams {
        stream.join().expect("a caller");
    }
}

/// Takes a stream up after this event, at another instance.
fn take_up(fleet: &TestFleet, at: usize, stream: u64, event: usize) -> CallerResponse {
    caller(fleet, at, &format!("aaaa{stream:012x}"))
        .with("Last-Event-Id", &event.to_string())
        .with("Resumes", &id_of(stream))
        .send()
}

cases! {
    stream_goes_on_at_another_software_version_within_one_response => {
        let fleet = TestFleet::minimal();
        let backends = start_backends(&fleet, &["v1", "v2", "v2", "v3"], broken_once);
        for stream in 0..STREAM_COUNT {
            caller(&fleet, 1, &id_of(stream)).send();
        }
        assert_that!(mixed_streams(&backends), is_empty());
    };
    stream_goes_on_at_another_software_version_when_its_caller_takes_it_up => {
        let mut fleet = TestFleet::start(1, 2);
        fleet.configure(&document(1));
        let backends = start_backends(&fleet, &["v1", "v2", "v1", "v2"], slow);
        let streams = begin_streams(&fleet, 1, &backends);
        fleet.kill(1);
        check_all_go_on(&fleet, 2, streams);
        assert_that!(mixed_streams(&backends), is_empty());
    };
    new_scheduler_lets_streams_go_on_at_another_software_version => {
        let mut fleet = TestFleet::start(3, 2);
        fleet.configure(&document(1));
        let backends = start_backends(&fleet, &["v1", "v2", "v1", "v2"], slow);
        let streams = begin_streams(&fleet, 3, &backends);
        finish(streams);
        let has_scheduler = |fleet: &TestFleet, at: usize, epoch| {
            fleet.log(at).contains(&format!("started the scheduler of pool app at epoch {epoch}"))
        };
        let first = (0..3).find(|at| has_scheduler(&fleet, *at, 1)).expect("a scheduler");
        fleet.kill(first);
        wait_until("another scheduler has started", || (0..3).any(|at| has_scheduler(&fleet, at, 2)));
        // The first instance, which may be the killed one, gets the heartbeats.
        fleet.start_instance(first, false);
        for stream in 0..STREAM_COUNT {
            wait_until("a stream goes on", || take_up(&fleet, 4, stream, 3).is_complete_stream());
        }
        assert_that!(mixed_streams(&backends), is_empty());
    };
    router_without_a_scheduler_guesses_the_version_of_a_stream => {
        let mut fleet = TestFleet::start_with(FleetSettings {
            router_count: 2,
            lease: LONG_LEASE,
            ..FleetSettings::default()
        });
        fleet.configure(&document(1));
        let backends = start_backends(&fleet, &["v1", "v2"], slow);
        let streams = begin_streams(&fleet, 1, &backends);
        finish(streams);
        fleet.kill(0);
        for stream in 0..STREAM_COUNT {
            let elsewhere = take_up(&fleet, 2, stream, 3);
            assert_that!((elsewhere.status(), elsewhere.body.contains("unknown-stream")), eq((503, true)));
            let own = take_up(&fleet, 1, stream, 3);
            assert_that!(own.is_complete_stream() || own.body.contains("no-backend"), eq(true));
        }
        assert_that!(mixed_streams(&backends), is_empty());
    };
    taken_up_stream_goes_on_at_another_service_of_its_route => {
        let mut fleet = TestFleet::start(1, 2);
        fleet.configure(&split_document());
        let kinds = [("app", "v1"), ("app", "v2"), ("other", "v1"), ("other", "v2")];
        let backends = kinds.map(|kind| FakeBackend::start_version(&fleet, &format!("{}-{}", kind.0, kind.1), kind, slow));
        let streams = begin_streams(&fleet, 1, &backends);
        fleet.kill(1);
        check_all_go_on(&fleet, 2, streams);
        assert_that!(mixed_streams(&backends), is_empty());
    };
}

/// A document in which two services share the streams of a route.
fn split_document() -> Value {
    let mut document = document(1);
    let other = json!({"name": "other", "health_path": "/health", "max_conns": 100, "tls": false});
    let services = document["services"].as_array_mut().expect("a list");
    services.push(other);
    let route = document["routes"][3].as_object_mut().expect("a route");
    route.remove("service");
    let split = json!([{"service": "app", "weight": 50}, {"service": "other", "weight": 50}]);
    route.insert("split".into(), split);
    document
}
