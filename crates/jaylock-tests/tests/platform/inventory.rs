//! Lists of cached prompt parts that engines send without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_daemon::Inventory;
use jaylock_platform::HttpInventory;
use jaylock_tests::cases;

/// Bytes that an engine may send before its connection is closed, with those in buffers on the way.
const MAX_SENT_BYTES: usize = 64 << 20;
/// Longest wait for the engine's connection to be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// An engine that answers with `head` and then sends `filler` until the connection is closed.
///
/// Returns its address and the number of bytes that it sent.
fn start_engine(head: &'static str, filler: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (sender, sent) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let block = filler.repeat(1024);
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        let mut count = 0;
        while is_open && !block.is_empty() {
            is_open = stream.write_all(block.as_bytes()).is_ok();
            count += block.len();
        }
        let _ = sender.send(count);
    });
    (address, sent)
}

async fn check_endless(head: &'static str, filler: &'static str) {
    let (address, sent) = start_engine(head, filler);
    let inventory = HttpInventory;
    assert_that!(inventory.cached_parts(address).await, none());
    // The connection closes while the runtime runs.
    compio::time::sleep(Duration::from_millis(50)).await;
    let sent = sent.recv_timeout(CLOSE_TIMEOUT);
    assert_that!(sent, ok(le(MAX_SENT_BYTES)));
}

cases! {
    async list_of_parts_without_end_is_read_into_memory => {
        check_endless("HTTP/1.1 200 OK\r\n\r\n", "{\"held\":[[\"\",\"5c1e\",800,\"m\"]]}").await;
    };
    async informational_responses_without_end_stop_an_instance => {
        check_endless("", "HTTP/1.1 103 Early Hints\r\n\r\n").await;
    };
    async list_of_parts_is_lost => {
        let body = r#"{"epoch":1,"next":2,"held":[["","5c1e",800,"m"]]}"#;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let (address, _) = start_engine(Box::leak((head + body).into_boxed_str()), "");
        let parts = HttpInventory.cached_parts(address).await;
        assert_that!(parts.map(|parts| parts.len()), some(eq(1)));
    };
}
