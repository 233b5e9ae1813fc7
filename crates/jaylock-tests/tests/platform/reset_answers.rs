//! Answers during an upload, after which the backend server resets or closes the connection.
//!
//! The router stands still while the answer, the reset and then bytes of many other callers arrive, as on a machine that is short of
//! processor time. When it goes on, it reads a part of the answer, and looks at its sockets again before it has worked through
//! what the others sent: so its write meets the reset, and its next read meets a plain end.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::harness::{
    Caller, CallerResponse, FakeBackend, ReceivedRequest, Reply, TestFleet, document, wait_until,
};

/// Size of an upload, which the buffers of a connection don't hold.
const UPLOAD_BYTES: usize = 3 << 20;
/// The part of an upload that the backend server has read when it answers during the upload.
const PART_BYTES: usize = 100_000;
/// Size of a body that one read takes.
const FEW_BYTES: usize = 20;
/// Size of a body that takes several reads.
const MANY_BYTES: usize = 40 << 10;
/// Path of a route whose requests go over connections that were idle for longer.
const KEPT: &str = "/look/upload";
/// Other callers, which are more than the tasks that the router runs between two looks at its sockets.
const OTHER_CALLERS: usize = 200;
/// Time for what was sent to arrive before a reset, which drops what is still on its way.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// Uploads with resets at random moments; the environment variable `JAYLOCK_UPLOADS` sets another number.
const RANDOM_UPLOADS: usize = 200;
/// Callers that send them at the same time.
const RANDOM_CALLERS: usize = 8;
/// Time for the router to fill the buffers of a connection.
const FILL_TIME: Duration = Duration::from_millis(50);

/// How much of the upload the backend server has read when it answers.
#[derive(Debug, Clone, Copy)]
enum Moment {
    Before,
    During,
    After,
}

impl Moment {
    fn read_bytes(self) -> usize {
        match self {
            Self::Before => 0,
            Self::During => PART_BYTES,
            Self::After => UPLOAD_BYTES,
        }
    }
}

/// Where the backend server waits, before it answers an upload, until the router stands still.
#[derive(Default)]
struct Gate {
    has_arrived: AtomicBool,
    is_open: AtomicBool,
}

impl Gate {
    fn pass(&self) {
        self.has_arrived.store(true, Ordering::Relaxed);
        wait_until("the router stands still", || {
            self.is_open.load(Ordering::Relaxed)
        });
    }

    fn wait_for_upload(&self) {
        wait_until("the backend server has the upload", || {
            self.has_arrived.load(Ordering::Relaxed)
        });
    }

    fn open(&self) {
        self.is_open.store(true, Ordering::Relaxed);
    }
}

/// An upload and the answer to it.
struct Upload {
    path: &'static str,
    moment: Moment,
    is_chunked: bool,
    /// Whether the connection carried a request before.
    is_kept: bool,
    reply: fn(&ReceivedRequest) -> Reply,
}

impl Default for Upload {
    fn default() -> Self {
        Self {
            path: "/once/upload",
            moment: Moment::During,
            is_chunked: false,
            is_kept: false,
            reply: cut_few,
        }
    }
}

/// What became of an upload.
struct Outcome {
    /// What the caller got.
    response: CallerResponse,
    /// Broken answers that the router has counted.
    broken: usize,
}

impl Outcome {
    /// Checks that the caller got no complete answer with success, and that the router has counted a broken one.
    fn assert_cut(&self) {
        let answer = &self.response.answer;
        assert_that!(self.response.is_complete_stream(), eq(false), "{answer:?}");
        assert_that!(self.broken, eq(1));
    }
}

impl Upload {
    /// Sends the upload to a new fleet.
    fn play(&self) -> Outcome {
        let mut fleet = TestFleet::minimal();
        fleet.configure(&large_document());
        let gate = Arc::new(Gate::default());
        let (opened, reply) = (gate.clone(), self.reply);
        let backend = FakeBackend::start_early(&fleet, "b1", self.moment.read_bytes(), move |r| {
            if r.request_line.contains("/sound") {
                return r.respond("200 OK", "sound");
            }
            opened.pass();
            reply(r)
        });
        let connect = || TcpStream::connect(fleet.caller_address(1)).expect("a connection");
        let mut others: Vec<TcpStream> = (0..OTHER_CALLERS).map(|_| connect()).collect();
        if self.is_kept {
            let sound = fleet.caller().request("POST", "/look/sound").send();
            assert_that!(sound.status(), eq(200));
        }
        let caller = self.caller(&fleet);
        let sending = thread::spawn(move || caller.send());
        gate.wait_for_upload();
        thread::sleep(FILL_TIME);
        fleet.process(1).suspend();
        gate.open();
        wait_until("the answer was sent and the connection ended", || {
            backend.end_count() == 1
        });
        for other in &mut others {
            // On a slow machine the router has closed them by now, as no head came.
            let _ = other.write_all(b"G");
        }
        fleet.process(1).resume();
        let response = sending.join().expect("a response");
        self.check_received(&backend.received());
        Outcome {
            response,
            broken: fleet.broken_answers(1),
        }
    }

    fn caller(&self, fleet: &TestFleet) -> Caller {
        let caller = fleet.caller().request("POST", self.path);
        let caller = caller.with("Time-Budget", "10000");
        let body = "u".repeat(UPLOAD_BYTES);
        if self.is_chunked {
            caller.chunked_body(&body)
        } else {
            caller.body(&body)
        }
    }

    /// Checks that the backend server got the upload as this case describes it.
    fn check_received(&self, received: &[ReceivedRequest]) {
        let uploads = received
            .iter()
            .filter(|r| r.request_line.contains(self.path));
        let uploads: Vec<_> = uploads.collect();
        assert_that!(uploads.len(), eq(1));
        assert_that!(uploads[0].body.len(), eq(self.moment.read_bytes()));
        assert_that!(
            uploads[0].header("content-length"),
            eq(&UPLOAD_BYTES.to_string())
        );
        let connection = uploads[0].connection;
        let is_kept = received
            .iter()
            .filter(|r| r.connection == connection)
            .count()
            > 1;
        assert_that!(is_kept, eq(self.is_kept));
    }
}

/// A document that allows bodies of this size.
fn large_document() -> Value {
    let mut document = document(2);
    document["limits"]["max_body_bytes"] = json!(4 << 20);
    document
}

fn resetting(reply: Reply) -> Reply {
    Reply {
        reset_after: Some(ARRIVAL_TIME),
        ..reply
    }
}

fn closing(reply: Reply) -> Reply {
    Reply {
        closes_connection: true,
        ..reply
    }
}

/// An answer that declares no length.
fn unframed(request: &ReceivedRequest, bytes: usize) -> Reply {
    request.sealed("200 OK", &format!("\r\n{}", "a".repeat(bytes)))
}

fn cut_few(request: &ReceivedRequest) -> Reply {
    resetting(unframed(request, FEW_BYTES))
}

fn cut_many(request: &ReceivedRequest) -> Reply {
    resetting(unframed(request, MANY_BYTES))
}

/// Defines cases in which a caller must not get an answer as complete.
macro_rules! cut_answers {
    ($($name:ident => $upload:expr;)*) => {
        cases! {
            $($name => {
                let outcome = $upload.play();
                outcome.assert_cut();
                assert_that!(outcome.response.status(), eq(502));
            };)*
        }
    };
}

cut_answers! {
    cut_before_the_upload => Upload { moment: Moment::Before, ..Upload::default() };
    cut_during_the_upload => Upload::default();
    cut_after_the_upload => Upload { moment: Moment::After, ..Upload::default() };
    large_part_cut_before_the_upload => Upload { moment: Moment::Before, reply: cut_many, ..Upload::default() };
    large_part_cut_during_the_upload => Upload { reply: cut_many, ..Upload::default() };
    large_part_cut_after_the_upload => Upload { moment: Moment::After, reply: cut_many, ..Upload::default() };
    cut_on_a_kept_connection_before_the_upload => Upload { moment: Moment::Before, path: KEPT, is_kept: true, ..Upload::default() };
    cut_on_a_kept_connection_during_the_upload => Upload { path: KEPT, is_kept: true, ..Upload::default() };
    cut_on_a_kept_connection_after_the_upload => Upload { moment: Moment::After, path: KEPT, is_kept: true, ..Upload::default() };
    large_part_cut_on_a_kept_connection_before_the_upload => Upload { moment: Moment::Before, path: KEPT, is_kept: true, reply: cut_many, ..Upload::default() };
    large_part_cut_on_a_kept_connection_after_the_upload => Upload { moment: Moment::After, path: KEPT, is_kept: true, reply: cut_many, ..Upload::default() };
    large_part_cut_on_a_kept_connection => Upload { path: KEPT, is_kept: true, reply: cut_many, ..Upload::default() };
    cut_before_an_upload_in_chunks => Upload { moment: Moment::Before, is_chunked: true, ..Upload::default() };
    cut_during_an_upload_in_chunks => Upload { is_chunked: true, ..Upload::default() };
    cut_after_an_upload_in_chunks => Upload { moment: Moment::After, is_chunked: true, ..Upload::default() };
    large_part_cut_before_an_upload_in_chunks => Upload { moment: Moment::Before, is_chunked: true, reply: cut_many, ..Upload::default() };
    large_part_cut_after_an_upload_in_chunks => Upload { moment: Moment::After, is_chunked: true, reply: cut_many, ..Upload::default() };
    large_part_cut_during_an_upload_in_chunks => Upload { is_chunked: true, reply: cut_many, ..Upload::default() };
    cut_before_an_upload_in_chunks_on_a_kept_connection => Upload { moment: Moment::Before, is_chunked: true, path: KEPT, is_kept: true, ..Upload::default() };
    cut_after_an_upload_in_chunks_on_a_kept_connection => Upload { moment: Moment::After, is_chunked: true, path: KEPT, is_kept: true, ..Upload::default() };
    large_part_cut_before_an_upload_in_chunks_on_a_kept_connection => Upload { moment: Moment::Before, is_chunked: true, path: KEPT, is_kept: true, reply: cut_many };
    large_part_cut_during_an_upload_in_chunks_on_a_kept_connection => Upload { is_chunked: true, path: KEPT, is_kept: true, reply: cut_many, ..Upload::default() };
    large_part_cut_after_an_upload_in_chunks_on_a_kept_connection => Upload { moment: Moment::After, is_chunked: true, path: KEPT, is_kept: true, reply: cut_many };
    cut_in_chunks_on_a_kept_connection => Upload { is_chunked: true, path: KEPT, is_kept: true, ..Upload::default() };
    idempotent_request_cut => Upload { path: "/look/upload", ..Upload::default() };
    error_cut => Upload { reply: |r| resetting(r.sealed("500 Internal Server Error", "\r\nbroken")), ..Upload::default() };
    empty_body_cut => Upload { reply: |r| resetting(unframed(r, 0)), ..Upload::default() };
    body_shorter_than_its_length_cut => Upload { reply: |r| resetting(r.sealed("200 OK", "Content-Length: 12\r\n\r\nwhole")), ..Upload::default() };
    chunks_without_the_last_one_cut => Upload { reply: |r| resetting(r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n")), ..Upload::default() };
    error_instead_of_a_stream_cut => Upload { path: "/stream/upload", reply: |r| resetting(r.sealed("500 Internal Server Error", "\r\nbroken")), ..Upload::default() };
}

/// An answer without a length, whose size and whose time to the reset, in microseconds, the request asks for.
fn cut_as_asked(request: &ReceivedRequest) -> Reply {
    let part = request.header("part").parse().unwrap_or(0);
    let delay = request.header("delay-us").parse().unwrap_or(0);
    Reply {
        reset_after: Some(Duration::from_micros(delay)),
        ..unframed(request, part)
    }
}

/// Sends uploads of random size, whose answers without a length are cut at random moments; returns how many came through as whole.
fn cut_at_random(fleet: &TestFleet, count: usize, seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut whole = 0;
    for _ in 0..count {
        let body = "u".repeat(random.random_range(UPLOAD_BYTES / 10..UPLOAD_BYTES));
        let (part, delay) = (random.random_range(0..60_000), random.random_range(0..3000));
        let caller = fleet.caller().request("POST", "/once/upload").body(&body);
        let caller = caller.with("Part", &part.to_string());
        let response = caller.with("Delay-Us", &delay.to_string()).try_send();
        whole += usize::from(response.is_ok_and(|r| r.is_complete_stream()));
    }
    whole
}

/// A whole event of a stream that declares no length.
fn unframed_event(request: &ReceivedRequest) -> Reply {
    let event = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n";
    request.sealed("200 OK", event)
}

/// Plays an upload with this reply, whose text the caller must get whole.
fn assert_whole(text: &str, upload: &Upload) {
    let Outcome { response, broken } = upload.play();
    assert_that!(broken, eq(0));
    assert_that!(response.answer.head, starts_with("http/1.1 200"));
    assert_that!(
        (response.is_complete, response.body.as_str()),
        eq((true, text))
    );
}

cases! {
    stream_cut_after_a_whole_event => {
        Upload { path: "/stream/upload", reply: |r| resetting(unframed_event(r)), ..Upload::default() }.play().assert_cut();
    };
    resumable_stream_cut_after_a_whole_event => {
        Upload { path: "/draft/upload", reply: |r| resetting(unframed_event(r)), ..Upload::default() }.play().assert_cut();
    };
    answers_cut_at_random_moments => {
        let uploads = std::env::var("JAYLOCK_UPLOADS").ok().and_then(|n| n.parse().ok());
        let uploads: usize = uploads.unwrap_or(RANDOM_UPLOADS);
        let fleet = TestFleet::minimal();
        fleet.configure(&large_document());
        let backend = FakeBackend::start_early(&fleet, "b1", 0, cut_as_asked);
        let whole = thread::scope(|scope| {
            let fleet = &fleet;
            let send = |seed| scope.spawn(move || cut_at_random(fleet, uploads / RANDOM_CALLERS, seed));
            let callers: Vec<_> = (0..RANDOM_CALLERS as u64).map(send).collect();
            callers.into_iter().map(|caller| caller.join().expect("a count")).sum::<usize>()
        });
        assert_that!(whole, eq(0));
        assert_that!(backend.received().len(), ge(uploads / 2));
    };
    answer_with_a_length_before_a_reset_is_whole => {
        assert_whole("whole", &Upload { reply: |r| resetting(r.respond("200 OK", "whole")), ..Upload::default() });
    };
    large_answer_with_a_length_before_a_reset_is_whole => {
        let text = "a".repeat(MANY_BYTES);
        assert_whole(&text, &Upload { reply: |r| resetting(r.respond("200 OK", &"a".repeat(MANY_BYTES))), ..Upload::default() });
    };
    large_answer_with_a_length_on_a_kept_connection_before_a_reset_is_whole => {
        let text = "a".repeat(MANY_BYTES);
        assert_whole(&text, &Upload { path: KEPT, is_kept: true, reply: |r| resetting(r.respond("200 OK", &"a".repeat(MANY_BYTES))), ..Upload::default() });
    };
    chunks_before_a_reset_are_whole => {
        assert_whole("whole", &Upload { reply: |r| resetting(r.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")), ..Upload::default() });
    };
    stream_with_its_last_chunk_before_a_reset_is_whole => {
        let events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
        assert_whole(events, &Upload { path: "/stream/upload", reply: |r| resetting(r.events(1..=2, Reply::LAST_CHUNK)), ..Upload::default() });
    };
    answer_without_a_length_before_an_orderly_close_is_whole => {
        assert_whole("whole", &Upload { reply: |r| closing(r.sealed("200 OK", "\r\nwhole")), ..Upload::default() });
    };
    large_answer_without_a_length_before_an_orderly_close_is_whole => {
        let text = "a".repeat(MANY_BYTES);
        assert_whole(&text, &Upload { reply: |r| closing(unframed(r, MANY_BYTES)), ..Upload::default() });
    };
    large_answer_without_a_length_before_an_orderly_close_and_a_reset_is_whole => {
        let text = "a".repeat(MANY_BYTES);
        assert_whole(&text, &Upload { reply: |r| resetting(closing(unframed(r, MANY_BYTES))), ..Upload::default() });
    };
    answer_without_a_length_after_the_upload_is_whole => {
        assert_whole("whole", &Upload { moment: Moment::After, reply: |r| closing(r.sealed("200 OK", "\r\nwhole")), ..Upload::default() });
    };
}
