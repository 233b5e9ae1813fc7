use std::io::Write;
use std::net::TcpStream;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Fleet, FleetSettings, HttpResponse, get, post, run_tool, send_raw};

use crate::create;

/// Bounds that the tests can reach quickly.
const BOUNDS: &str = "[limits]\nbody = 4KiB\nheaders = 8KiB\nsender_timeout = 1s\n";

const PATH: &str = "/v1/chat/completions";

/// One instance that does everything, with an organisation.
fn single() -> Fleet {
    let settings = FleetSettings {
        extra_lines: BOUNDS.into(),
        ..FleetSettings::single()
    };
    let fleet = Fleet::start_empty(&settings);
    fleet.wait_until_ready();
    create(&fleet, "zarqa");
    fleet.wait_until_ready();
    fleet
}

/// Sends a request with a body whose length is told wrongly or not at all.
fn send(fleet: &Fleet, headers: &str, body: &str) -> HttpResponse {
    let text = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer zarqa-key-1\r\nconnection: close\r\n\
         {headers}\r\n{body}"
    );
    send_raw(fleet.caller_address(0), text.as_bytes()).expect("an answer")
}

fn check_alive(fleet: &Fleet) {
    assert_that!(
        get(fleet.caller_address(0), "/v1/routers")
            .expect("an answer")
            .status,
        eq(200)
    );
    assert_that!(fleet.run_tool(&["config", "show"]).exit_code, eq(0));
}

cases! {
    malformed_http_gets_a_clear_error_and_costs_nothing_to_others => {
        let fleet = single();
        let ask = |body: &str| post(fleet.caller_address(0), PATH, "zarqa-key-1", body).expect("an answer");
        for body in ["", "{", "[]", "{\"model\":7}", "\u{0}\u{1}"] {
            let answer = ask(body);
            assert_that!(answer.status, eq(400), "{body:?}: {}", answer.body);
            assert_that!(answer.header("x-run"), some(eq("not-run")));
            assert_that!(answer.body, contains_substring("remedy"));
        }
        assert_that!(ask(&"x".repeat(5000)).status, eq(413));
        let unknown = post(fleet.caller_address(0), PATH, "some-other-key", "{}").expect("an answer");
        assert_that!((unknown.status, unknown.header("x-run")), eq((401, Some("not-run"))));
        assert_that!(send(&fleet, &format!("x-long: {}\r\n", "y".repeat(9000)), "").status, eq(431));
        assert_that!(send(&fleet, "content-length: 10\r\ncontent-length: 2\r\n", "{}").status, eq(400));
        assert_that!(send(&fleet, "content-length: minus\r\n", "{}").status, eq(400));
        assert_that!(send(&fleet, "transfer-encoding: chunked\r\n", "zz\r\n{}").status, eq(400));
        // A body that never comes whole ends with the time for slow senders.
        assert_that!(send(&fleet, "content-length: 10\r\n", "{}").status, eq(408));
        let garbage = send_raw(fleet.caller_address(0), b"\x16\x03\x01 no http at all\r\n\r\n");
        assert_that!(garbage.map_or(400, |answer| answer.status), eq(400));
        assert_that!(get(fleet.caller_address(0), "/no/such/path").expect("an answer").status, eq(404));
        check_alive(&fleet);
    };
    malformed_grpc_gets_an_error_and_costs_nothing_to_others => {
        let fleet = single();
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        let bad_frame = [&preface[..], &[0xff; 64]].concat();
        let streams: Vec<TcpStream> = [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0; 4096], &bad_frame, preface]
            .map(|bytes| {
                let mut stream = TcpStream::connect(fleet.peer_address(0)).expect("a connection");
                // The other side may close at once.
                let _ = stream.write_all(bytes);
                stream
            })
            .into();
        check_alive(&fleet);
        drop(streams);
        let outcome = run_tool(&[fleet.peer_address(0)], "not-the-secret", &["config", "show"]);
        assert_that!(outcome.exit_code, eq(1));
        assert_that!(outcome.stderr, contains_substring("wrong secret"));
        check_alive(&fleet);
    };
    another_ones_identity_is_not_taken => {
        let fleet = single();
        let announce = |token: &str| {
            let body = format!(
                r#"{{"id":"engine-1","incarnation":1,"pool":"jaylock-pool","kind":"engine",
                "address":"127.0.0.1:9","domain":"d0","token":"{token}","slots":1,
                "checks_orders":false,"models":[],"fence":0}}"#
            );
            post(fleet.caller_address(0), "/v1/backends/announce", "none", &body).expect("an answer")
        };
        assert_that!(announce("its-own-token").status, eq(200));
        jaylock_tests::fleet::wait_until("the identity is known", || {
            announce("another-token").status == 409
        });
        assert_that!(announce("its-own-token").status, eq(200));
    };
}
