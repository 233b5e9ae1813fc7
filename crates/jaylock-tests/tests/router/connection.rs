//! Tests of connections to backend servers.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use jaylock_router::{AttemptError, Connection, ConnectionPool};
use jaylock_tests::cases;

/// Timeout for bytes that were sent before.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

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
