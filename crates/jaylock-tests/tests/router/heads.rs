//! Heads that others may read differently are refused, and nothing else is changed.

use googletest::prelude::*;
use jaylock_router::HeadValidator;
use jaylock_tests::{cases, seeded_config};
use proptest::prelude::*;

/// Longest head of these tests, in bytes.
const LONGEST: usize = 4096;

/// What is passed on of some bytes, cut into pieces.
fn passed(bytes: &[u8], piece: usize) -> Vec<u8> {
    let mut check = HeadValidator::new(LONGEST);
    let mut passed = Vec::new();
    for part in bytes.chunks(piece.max(1)) {
        check.feed(part, &mut passed);
    }
    check.finish(&mut passed);
    passed
}

/// A request of one of several shapes, whose body may look like anything.
fn request() -> impl Strategy<Value = Vec<u8>> {
    let body = prop::collection::vec(prop_oneof![Just(b'\r'), Just(b'\n'), any::<u8>()], 0..60);
    (0..4_u8, body).prop_map(|(shape, body)| {
        let head = match shape {
            0 => "GET /a HTTP/1.1\r\nhost: x\r\n\r\n".into(),
            1 => "\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n".into(),
            2 => format!("POST /c HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()),
            _ => "POST /d HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(),
        };
        let mut bytes: Vec<u8> = head.into_bytes();
        match shape {
            2 => bytes.extend(&body),
            3 => {
                for chunk in body.chunks(7) {
                    bytes.extend(format!("{:x};more\r\n", chunk.len()).as_bytes());
                    bytes.extend(chunk);
                    bytes.extend(b"\r\n");
                }
                bytes.extend(b"0\r\ntrailer: 1\r\n\r\n");
            }
            _ => {}
        }
        bytes
    })
}

proptest! {
    #![proptest_config(seeded_config(512))]

    #[test]
    fn proper_requests_pass_unchanged_however_they_are_cut(
        requests in prop::collection::vec(request(), 1..5),
        piece in 1..40_usize,
    ) {
        let bytes = requests.concat();
        prop_assert_eq!(passed(&bytes, piece), bytes);
    }

    #[test]
    fn two_lengths_are_refused_after_any_requests(
        before in prop::collection::vec(request(), 0..4),
        is_first in any::<bool>(),
        piece in 1..40_usize,
    ) {
        let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
        let fields = if is_first { [length, coding] } else { [coding, length] }.concat();
        let bad = format!("POST /x HTTP/1.1\r\n{fields}\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
        let before = before.concat();
        let mut wanted = before.clone();
        wanted.extend(b"\0\r\n\r\n");
        prop_assert_eq!(passed(&[before, bad.into_bytes()].concat(), piece), wanted);
    }

    #[test]
    fn any_bytes_are_taken(bytes in prop::collection::vec(any::<u8>(), 0..300), piece in 1..40_usize) {
        prop_assert!(passed(&bytes, piece).len() <= bytes.len() + 5);
    }
}

cases! {
    a_bare_line_feed_in_a_head_is_refused => {
        for head in ["GET /a HTTP/1.1\nhost: x\r\n\r\n", "GET /a HTTP/1.1\r\nhost: x\n\n", "GET /a HTTP/1.1\n\n"] {
            for piece in 1..20 {
                assert_that!(passed(head.as_bytes(), piece), eq(b"\0\r\n\r\n"), "{head:?}");
            }
        }
    };
    a_head_that_is_too_long_is_left_to_the_library => {
        let head = format!("GET /a HTTP/1.1\r\nx: {}", "y".repeat(2 * LONGEST));
        assert_that!(passed(head.as_bytes(), 100), eq(head.as_bytes()));
    };
}
