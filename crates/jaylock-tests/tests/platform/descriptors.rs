//! Processes that have no file descriptor left for a while.

use std::net::TcpStream;

use jaylock_tests::cases;
use jaylock_tests::fleet::get;

use crate::harness::{FakeBackend, TestFleet, document, wait_until};

/// A limit that all descriptors of a running process exceed.
const NONE_LEFT: u64 = 3;

cases! {
    // Guards against an address that is closed for good after one failed accept.
    all_addresses_are_served_again_when_descriptors_have_run_out => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let has_metrics = |fleet: &TestFleet, at| {
            get(fleet.metrics_address(at), "/metrics").is_ok_and(|a| a.status == 200)
        };
        for at in 0..2 {
            fleet.process(at).limit_descriptors(Some(NONE_LEFT));
            let metrics = TcpStream::connect(fleet.metrics_address(at)).expect("a connection");
            let peers = TcpStream::connect(fleet.peer_address(at)).expect("a connection");
            wait_until("an accept fails", || fleet.log(at).contains("accept failed"));
            drop((metrics, peers));
            fleet.process(at).limit_descriptors(None);
            wait_until("metrics are served", || has_metrics(&fleet, at));
        }
        wait_until("a change is acknowledged", || fleet.put_document(0, &document(2)) == 200);
        wait_until("a request is served", || fleet.caller().send().status() == 200);
    };
}
