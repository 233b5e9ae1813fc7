//! Documents that an earlier release recorded, as an update finds them in the log.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_control::{ClientSettings, ControlClient};
use jaylock_platform::decode_document;
use jaylock_router::new_command;
use jaylock_rpc::ChannelSettings;
use jaylock_rpc::v1::Document;
use jaylock_rpc::v1::command::Body;
use jaylock_tests::cases;
use jaylock_types::Secret;
use serde_json::{Value, json};

use crate::harness::{FakeBackend, TestFleet, document, wait_until};

/// Time after the update for which routes must not open.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Records a document without telling whether callers need a key, as earlier releases did.
fn record(fleet: &TestFleet, document: &Value) {
    let decoded = decode_document(document.to_string().as_bytes()).expect("a valid document");
    let command = new_command(Body::PutDocument(Document {
        key_required: None,
        ..decoded
    }));
    let channel = ChannelSettings {
        secret: Secret::new("instances-of-a-test"),
        ..ChannelSettings::default()
    };
    let seeds = vec![fleet.peer_address(0)];
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let client = ControlClient::new(seeds, channel, ClientSettings::default());
        client
            .propose(command)
            .await
            .expect("a reply of the leader");
    });
}

fn status(fleet: &TestFleet, key: Option<&str>) -> u16 {
    let caller = fleet.caller().without("Key");
    let caller = match key {
        Some(key) => caller.with("Key", key),
        None => caller,
    };
    caller.send().status()
}

cases! {
    // Guards against routes that an update leaves open although an operator had taken all keys away.
    list_of_organisations_that_was_emptied_before_an_update_closes_the_routes => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        assert_that!(fleet.caller().send().status(), eq(200));
        let mut none = document(2);
        none["tenants"] = json!([]);
        record(&fleet, &none);
        wait_until("the key is refused", || fleet.caller().send().status() == 401);
        let end = std::time::Instant::now() + WATCH_TIME;
        while std::time::Instant::now() < end {
            for key in [None, Some("key-of-nobody")] {
                assert_that!(status(&fleet, key), eq(401));
            }
        }
    };

    // Guards against a fleet without organisations that refuses all callers after an update.
    document_without_organisations_needs_no_key_after_an_update => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let mut absent = document(2);
        absent.as_object_mut().expect("an object").remove("tenants");
        record(&fleet, &absent);
        wait_until("no key is required", || status(&fleet, None) == 200);
    };
}
