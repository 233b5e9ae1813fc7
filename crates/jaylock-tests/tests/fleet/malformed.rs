use std::io::Write;
use std::net::TcpStream;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, HttpResponse, get, post, run_tool, send_raw};

use crate::create_organisation;

/// Settings with limits that the tests exceed quickly.
const LIMITS: &str = "[limits]\nbody = 4KiB\nheaders = 8KiB\nsender_timeout = 1s\n";

const PATH: &str = "/v1/chat/completions";

/// Starts one instance with an organisation.
fn start_single() -> Fleet {
    let settings = FleetSettings {
        extra_lines: LIMITS.into(),
        ..FleetSettings::single()
    };
    let fleet = Fleet::start_empty(&settings);
    fleet.wait_until_ready();
    create_organisation(&fleet, "zarqa");
    fleet.wait_until_ready();
    fleet
}

/// Sends a request whose headers may state a wrong body length or none.
fn send_request(fleet: &Fleet, headers: &str, body: &str) -> HttpResponse {
    let text = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer zarqa-key-1\r\nconnection: close\r\n\
         {headers}\r\n{body}"
    );
    send_raw(fleet.caller_address(0), text.as_bytes()).expect("a response")
}

fn assert_serving(fleet: &Fleet) {
    assert_that!(
        get(fleet.caller_address(0), "/v1/routers")
            .expect("a response")
            .status,
        eq(200)
    );
    assert_that!(fleet.run_tool(&["config", "show"]).exit_code, eq(0));
}

cases! {
    refuses_malformed_http_and_keeps_serving => {
        let fleet = start_single();
        let send_body = |body: &str| post(fleet.caller_address(0), PATH, "zarqa-key-1", body).expect("a response");
        for body in ["", "{", "[]", "{\"model\":7}", "\u{0}\u{1}"] {
            let response = send_body(body);
            assert_that!(response.status, eq(400), "{body:?}: {}", response.body);
            assert_that!(response.header("x-run"), some(eq("not-run")));
            assert_that!(response.body, contains_substring("remedy"));
        }
        assert_that!(send_body(&"x".repeat(5000)).status, eq(413));
        let unknown = post(fleet.caller_address(0), PATH, "some-other-key", "{}").expect("a response");
        assert_that!((unknown.status, unknown.header("x-run")), eq((401, Some("not-run"))));
        assert_that!(send_request(&fleet, &format!("x-long: {}\r\n", "y".repeat(9000)), "").status, eq(431));
        assert_that!(send_request(&fleet, "content-length: 10\r\ncontent-length: 2\r\n", "{}").status, eq(400));
        assert_that!(send_request(&fleet, "content-length: minus\r\n", "{}").status, eq(400));
        assert_that!(send_request(&fleet, "transfer-encoding: chunked\r\n", "zz\r\n{}").status, eq(400));
        // A body that is never complete is refused after the timeout for slow senders.
        assert_that!(send_request(&fleet, "content-length: 10\r\n", "{}").status, eq(408));
        let garbage = send_raw(fleet.caller_address(0), b"\x16\x03\x01 no http at all\r\n\r\n");
        assert_that!(garbage.map_or(400, |response| response.status), eq(400));
        assert_that!(get(fleet.caller_address(0), "/no/such/path").expect("a response").status, eq(404));
        assert_serving(&fleet);
    };
    refuses_malformed_grpc_and_keeps_serving => {
        let fleet = start_single();
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        let bad_frame = [&preface[..], &[0xff; 64]].concat();
        let streams: Vec<TcpStream> = [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0; 4096], &bad_frame, preface]
            .map(|bytes| {
                let mut stream = TcpStream::connect(fleet.peer_address(0)).expect("a connection");
                // The server may close the connection at once.
                let _ = stream.write_all(bytes);
                stream
            })
            .into();
        assert_serving(&fleet);
        drop(streams);
        let output = run_tool(&[fleet.peer_address(0)], "not-the-secret", &["config", "show"]);
        assert_that!(output.exit_code, eq(1));
        assert_that!(output.stderr, contains_substring("wrong secret"));
        assert_serving(&fleet);
    };
    refuses_a_known_backend_id_with_another_token => {
        let fleet = start_single();
        let announce = |token: &str| {
            let body = format!(
                r#"{{"id":"engine-1","incarnation":1,"pool":"jaylock-pool","kind":"engine",
                "address":"127.0.0.1:9","domain":"d0","token":"{token}","slots":1,
                "checks_orders":false,"models":[],"fence":0}}"#
            );
            post(fleet.caller_address(0), "/v1/backends/announce", "none", &body).expect("a response")
        };
        assert_that!(announce("its-own-token").status, eq(200));
        jaylock_tests::fleet::wait_until("the other token is refused", || {
            announce("another-token").status == 409
        });
        assert_that!(announce("its-own-token").status, eq(200));
    };
}
