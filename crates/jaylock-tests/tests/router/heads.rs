//! The head validator refuses ambiguous heads and changes nothing else.

use googletest::prelude::*;
use jaylock_router::HeadValidator;
use jaylock_tests::{cases, seeded_config};
use proptest::prelude::*;

/// Largest head in these tests.
const MAX_HEAD_BYTES: usize = 4096;

/// Returns the bytes that are passed on for input in parts of `size` bytes.
fn passed(bytes: &[u8], size: usize) -> Vec<u8> {
    let mut validator = HeadValidator::new(MAX_HEAD_BYTES);
    let mut passed = Vec::new();
    for part in bytes.chunks(size.max(1)) {
        validator.feed(part, &mut passed);
    }
    validator.finish(&mut passed);
    passed
}

/// Generates a valid request of one of several shapes, with an arbitrary body.
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
    fn passes_valid_requests_unchanged_for_any_split(
        requests in prop::collection::vec(request(), 1..5),
        size in 1..40_usize,
    ) {
        let bytes = requests.concat();
        prop_assert_eq!(passed(&bytes, size), bytes);
    }

    #[test]
    fn refuses_two_body_lengths_after_any_requests(
        before in prop::collection::vec(request(), 0..4),
        is_first in any::<bool>(),
        size in 1..40_usize,
    ) {
        let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
        let fields = if is_first { [length, coding] } else { [coding, length] }.concat();
        let ambiguous = format!("POST /x HTTP/1.1\r\n{fields}\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
        let before = before.concat();
        let mut expected = before.clone();
        expected.extend(b"\0\r\n\r\n");
        prop_assert_eq!(passed(&[before, ambiguous.into_bytes()].concat(), size), expected);
    }

    #[test]
    fn accepts_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300), size in 1..40_usize) {
        prop_assert!(passed(&bytes, size).len() <= bytes.len() + 5);
    }
}

cases! {
    refuses_a_bare_line_feed_in_a_head => {
        for head in ["GET /a HTTP/1.1\nhost: x\r\n\r\n", "GET /a HTTP/1.1\r\nhost: x\n\n", "GET /a HTTP/1.1\n\n"] {
            for size in 1..20 {
                assert_that!(passed(head.as_bytes(), size), eq(b"\0\r\n\r\n"), "{head:?}");
            }
        }
    };
    passes_an_oversized_head_to_the_library => {
        let head = format!("GET /a HTTP/1.1\r\nx: {}", "y".repeat(2 * MAX_HEAD_BYTES));
        assert_that!(passed(head.as_bytes(), 100), eq(head.as_bytes()));
    };
}
