//! Tests of connections to backend servers.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use jaylock_router::{AttemptError, Connection, ConnectionPool};
use jaylock_tests::{cases, limit_buffers};
use socket2::SockRef;

/// Timeout for bytes that were sent before.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of a request that the buffers of a connection don't hold.
const UPLOAD_BYTES: usize = 3 << 20;
/// An answer of which one read takes everything.
const UNFRAMED: &str = "HTTP/1.1 400 Bad Request\r\n\r\npart";

/// How a peer ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// A reset after an orderly close.
    CloseAndReset,
}

/// Sends a long request to a peer that answers and ends the connection before it has read anything.
///
/// Returns the connection and the body; `None` for no whole answer.
///
/// The peer acts while no task of the runtime runs. So the runtime reads the answer, then its write meets the reset, and only then
/// the body is read to its end.
async fn read_early_answer(answer: &str, end: End) -> (Connection, Option<Bytes>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    limit_buffers(&listener);
    let address = listener.local_addr().expect("an address");
    let mut connection = Connection::open(address, READ_TIMEOUT)
        .await
        .expect("a connection");
    let (mut peer, _) = listener.accept().expect("a connection");
    let request = Request::new(Full::new(Bytes::from(vec![0; UPLOAD_BYTES])));
    let mut sending = Box::pin(connection.send(request));
    let waiting = compio::time::timeout(READ_TIMEOUT / 10, &mut sending).await;
    assert_that!(waiting.is_err(), eq(true));
    peer.write_all(answer.as_bytes()).expect("an answer");
    if end != End::Reset {
        peer.shutdown(Shutdown::Write).expect("an orderly close");
    }
    if end != End::Close {
        let lingering = SockRef::from(&peer).set_linger(Some(Duration::ZERO));
        lingering.expect("a connection that can be reset");
        drop(peer);
    }
    let reading = async { sending.await.ok()?.into_body().collect().await.ok() };
    let body = compio::time::timeout(READ_TIMEOUT, reading).await;
    let body = body.expect("an end in time");
    (connection, body.map(http_body_util::Collected::to_bytes))
}

/// Defines cases of early answers; `None` if there is no whole one.
macro_rules! early_answers {
    ($($name:ident => ($answer:expr, $end:expr) => $expected:expr;)*) => {
        cases! {
            $(async $name => {
                let (_, body) = read_early_answer($answer, $end).await;
                let expected: Option<&str> = $expected;
                assert_that!(body, eq(&expected.map(|text| Bytes::copy_from_slice(text.as_bytes()))));
            };)*
        }
    };
}

early_answers! {
    early_answer_without_a_length_is_reset => (UNFRAMED, End::Reset) => None;
    early_answer_without_a_length_is_closed => (UNFRAMED, End::Close) => Some("part");
    early_answer_without_a_length_is_closed_then_reset => (UNFRAMED, End::CloseAndReset) => Some("part");
    early_answer_of_an_older_protocol_is_reset => ("HTTP/1.0 200 OK\r\n\r\npart", End::Reset) => None;
    early_answer_of_an_older_protocol_is_closed => ("HTTP/1.0 200 OK\r\n\r\npart", End::Close) => Some("part");
    early_answer_with_a_length_is_reset => ("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", End::Reset) => Some("whole");
    early_answer_without_a_body_is_reset => ("HTTP/1.1 204 No Content\r\n\r\n", End::Reset) => Some("");
    early_answer_in_chunks_is_reset => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End::Reset) => Some("whole");
    early_answer_with_more_to_come_is_reset => ("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole", End::Reset) => None;
    early_answer_with_more_to_come_is_closed => ("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole", End::Close) => None;
    early_answer_without_its_last_chunk_is_reset => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n", End::Reset) => None;
    early_answer_without_its_last_chunk_is_closed => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n", End::Close) => None;
    early_answer_in_chunks_with_a_length_is_reset => ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End::Reset) => Some("whole");
    early_answer_of_an_unknown_class_is_reset => ("HTTP/1.1 799 X\r\ncontent-length: 5\r\n\r\nwhole", End::Reset) => None;
    early_answer_is_reset_within_its_head => ("HTTP/1.1 200 OK\r\nx-f", End::Reset) => None;
    early_answer_is_closed_within_its_head => ("HTTP/1.1 200 OK\r\nx-f", End::Close) => None;
}

cases! {
    async dropping_a_connection_closes_it_before_any_other_task_runs => {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut connection = Connection::open(address, READ_TIMEOUT).await.expect("a connection");
        let (mut peer, _) = listener.accept().expect("a connection");
        peer.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        let request = Request::new(Full::new(Bytes::new()));
        let response = connection.send(request);
        // The time lets the connection's task send the request, to which nobody responds.
        let sent = compio::time::timeout(READ_TIMEOUT / 10, response).await;
        assert_that!(sent.is_err(), eq(true));
        let mut received = Vec::new();
        drop(connection);
        // This read blocks the thread, so that no task of the runtime runs.
        let closed = peer.read_to_end(&mut received);
        assert_that!(closed, ok(gt(&0)));
    };
    async connection_that_was_reset_under_a_request_carries_another_one => {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
        let (connection, body) = read_early_answer(answer, End::Reset).await;
        assert_that!(body.is_some(), eq(true));
        let address = connection.address();
        let pool = ConnectionPool::default();
        pool.put_back(connection);
        let request = || Some(Request::new(Full::new(Bytes::new())));
        let sent = pool.send(address, READ_TIMEOUT, READ_TIMEOUT, request).await;
        // Nobody listens any more, so that only the connection itself could have taken the request.
        assert_that!(sent.err().is_some_and(|error| error.is_not_run()), eq(true));
    };
    async request_is_sent_to_a_backend_server_that_excluded_it_while_a_connection_was_opened => {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let sent = ConnectionPool::default().send(address, READ_TIMEOUT, READ_TIMEOUT, || None).await;
        assert_that!(matches!(sent, Err(AttemptError::Excluded)), eq(true));
        let (mut peer, _) = listener.accept().expect("a connection");
        let mut received = Vec::new();
        assert_that!(peer.read_to_end(&mut received), ok(eq(&0)));
    };
}
