//! The memory that bodies within the limits take in a router.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;
use serde_json::json;

use crate::harness::{FakeBackend, TestFleet, document, wait_until};

/// Size of one body, just above a power of two.
const BODY_BYTES: usize = 1_060_000;
/// Number of bodies that are held at the same time, within the share of one organisation.
const BODY_COUNT: usize = 12;
/// Backend servers, with enough slots for all bodies.
const BACKENDS: [&str; 2] = ["b1", "b2"];

cases! {
    // Guards against a router that ends by its memory under bodies within the limits, as each was held three times and counted once.
    bodies_take_their_size_once_while_they_are_sent => {
        let mut fleet = TestFleet::minimal();
        let mut large = document(2);
        large["limits"]["max_body_bytes"] = json!(4 << 20);
        fleet.configure(&large);
        let release = Arc::new(AtomicBool::new(false));
        let is_released = release.clone();
        let backends = BACKENDS.map(|id| {
            let is_released = is_released.clone();
            FakeBackend::start(&fleet, id, move |r| {
                while r.request_line.contains("/held") && !is_released.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                }
                r.respond("200 OK", &r.body.len().to_string())
            })
        });
        let body = "b".repeat(BODY_BYTES);
        let caller = fleet.caller().request("POST", "/once/held").body(&body);
        wait_until("a small request is served", || {
            fleet.caller().request("POST", "/once/small").send().status() == 200
        });
        let before = fleet.peak_memory_kib(1);
        let callers: Vec<_> = (0..BODY_COUNT).map(|_| {
            let caller = caller.clone();
            thread::spawn(move || caller.send())
        }).collect();
        let held = || -> usize { backends.iter().map(FakeBackend::active_count).sum() };
        wait_until("all bodies have arrived", || held() == BODY_COUNT);
        release.store(true, Ordering::Relaxed);
        for caller in callers {
            let response = caller.join().expect("a response");
            expect_that!(response.body, eq(&BODY_BYTES.to_string()));
        }
        let grown = (fleet.peak_memory_kib(1) - before) * 1024;
        // Twice the size leaves room for connections and buffers.
        expect_that!(grown, lt((2 * BODY_COUNT * BODY_BYTES) as u64));
    };
}
