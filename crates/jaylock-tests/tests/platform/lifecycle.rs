//! Start, loss and shutdown of instances and backend servers.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{HttpResponse, get};
use serde_json::Value;

use crate::harness::{FakeBackend, Reply, TestFleet, document, wait_until};

/// Time for which changes must stay unconfirmed.
const OBSERVATION_TIME: Duration = Duration::from_millis(800);

/// Whether a response holds a document as submitted.
fn holds_document(answer: &HttpResponse, document: &Value) -> bool {
    let text = document.to_string();
    answer.body == text
}

cases! {
    forms_a_group_from_three_seeds_and_adds_the_other_instances => {
        let mut fleet = TestFleet::start(5, 1);
        fleet.configure(&document(1));
        let founder_count = |fleet: &TestFleet| (0..5).filter(|at| fleet.log(*at).contains("forming a group of 3")).count();
        assert_that!(founder_count(&fleet), eq(3));
        wait_until("all five vote", || {
            (0..5).any(|at| fleet.log(at).contains("the group has 5 voters"))
        });
        // The group survives the loss of two of five replicas once all vote.
        fleet.kill(0);
        fleet.kill(1);
        wait_until("a change is acknowledged by three of five", || fleet.put_document(2, &document(2)) == 200);
    };
    rejoins_the_group_after_a_disk_loss => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        fleet.kill(0);
        fleet.lose_disk(0);
        fleet.start_instance(0, false);
        wait_until("the instance returns the document", || {
            fleet.read_document(0).is_some_and(|a| a.status == 200 && holds_document(&a, &document(1)))
        });
        assert_that!(fleet.log(0).matches("forming a group").count(), eq(1));
        wait_until("the instance acknowledges a change", || fleet.put_document(0, &document(2)) == 200);
    };
    restores_acknowledged_documents_after_a_full_restart => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        assert_that!(fleet.put_document(1, &document(5)), eq(200));
        (0..3).for_each(|at| fleet.kill(at));
        (0..3).for_each(|at| fleet.start_instance(at, false));
        wait_until("the document is read back", || {
            fleet.read_document(2).is_some_and(|a| a.status == 200 && holds_document(&a, &document(5)))
        });
    };
    confirms_nothing_without_a_majority => {
        let mut fleet = TestFleet::start(3, 1);
        fleet.configure(&document(1));
        fleet.kill(0);
        fleet.kill(1);
        let end = Instant::now() + OBSERVATION_TIME;
        while Instant::now() < end {
            let put = fleet.put_document(2, &document(2));
            assert_that!(put, any!(eq(503), eq(0)));
        }
        wait_until("reading the document is refused", || fleet.read_document(2).is_some_and(|a| a.status == 503));
        wait_until("the router is not ready", || !fleet.is_ready(3));
        wait_until("requests are refused as unavailable", || fleet.caller().send().status() == 503);
    };
    lists_the_known_routers => {
        let fleet = TestFleet::start(1, 2);
        fleet.configure(&document(1));
        let listed = |query: &str| {
            let answer = fleet.look_up_addresses(0, query)?;
            let value: Value = serde_json::from_str(&answer.body).ok()?;
            let list = value["addresses"].as_array()?.clone();
            Some((answer.status, list.len(), value["ttl_s"].as_f64()?))
        };
        let all = Some((200, 2, 1.0));
        wait_until("both routers are listed", || listed("name=app.example&region=r&zone=d1") == all);
        assert_that!(listed(""), eq(all));
        assert_that!(listed("zone=nowhere"), eq(all));
    };
    removes_a_leaving_router_from_the_list_and_finishes_its_requests => {
        let mut fleet = TestFleet::start(1, 2);
        fleet.configure(&document(1));
        let _backend = FakeBackend::start(&fleet, "b1", |r| {
            thread::sleep(Duration::from_millis(1500));
            r.respond("200 OK", "done")
        });
        let address = fleet.caller_address(1).to_string();
        wait_until("the router is listed", || {
            fleet.look_up_addresses(0, "").is_some_and(|a| a.body.contains(&address))
        });
        let caller = fleet.caller().request("POST", "/once/1");
        let running = thread::spawn(move || caller.send());
        thread::sleep(Duration::from_millis(300));
        let process = fleet.take_process(1);
        let shutdown = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(process.terminate(Duration::from_secs(8)))
        });
        wait_until("the router is not ready", || !fleet.is_ready(1));
        wait_until("the router is no longer listed", || {
            fleet.look_up_addresses(0, "").is_some_and(|a| a.status == 200 && !a.body.contains(&address))
        });
        let response = running.join().expect("a caller");
        assert_that!((response.status(), response.body.as_str()), eq((200, "done")));
        assert_that!(shutdown.join().expect("an exit status").success(), eq(true));
    };
    reloads_settings_on_a_hangup_without_stopping => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        for at in 0..2 {
            fleet.process(at).reload();
            wait_until("the settings are reloaded", || fleet.log(at).contains("settings reloaded"));
            assert_that!(fleet.process(at).has_ended(), eq(false));
        }
        assert_that!(fleet.caller().send().status(), eq(200));
    };
    reloads_settings_that_change_without_a_signal => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        fleet.edit_settings(1, |text| text.replace("seeds = ", "seeds = 127.0.0.1:9,"));
        wait_until("the settings are reloaded", || fleet.log(1).contains("settings reloaded"));
        fleet.edit_settings(1, |_| "not a setting".into());
        wait_until("the error is logged", || fleet.log(1).contains("new settings are rejected"));
        assert_that!(fleet.process(1).has_ended(), eq(false));
        assert_that!(fleet.caller().send().status(), eq(200));
    };
    sends_no_request_to_a_leaving_backend_server => {
        let fleet = TestFleet::minimal();
        let one = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let two = FakeBackend::start(&fleet, "b2", |r| r.respond("200 OK", "done"));
        assert_that!(one.drain(&fleet), eq(200));
        let before = one.received().len();
        let statuses: Vec<u16> = (0..6).map(|_| fleet.caller().send().status()).collect();
        assert_that!(statuses, each(eq(&200)));
        assert_that!((one.received().len(), two.received().len()), eq((before, 6)));
        // A late heartbeat does not reactivate the backend server.
        one.send_late_heartbeat(&fleet);
        assert_that!(two.deregister(&fleet), eq(200));
        assert_that!(fleet.caller().send().status(), eq(503));
        assert_that!(one.received(), len(eq(before)));
    };
    refuses_a_request_that_a_backend_server_rejects_as_misdirected => {
        let fleet = TestFleet::minimal();
        let _one = FakeBackend::start(&fleet, "b1", |_| Reply::from_text(
            "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: other\r\nContent-Length: 0\r\n\r\n",
        ));
        let response = fleet.caller().request("POST", "/once/1").send();
        assert_that!(response.status(), eq(503));
        assert_that!(response.answer.header("retry-after").is_some(), eq(true));
    };
    serves_metrics => {
        let fleet = TestFleet::minimal();
        assert_that!(get(fleet.metrics_address(1), "/metrics").expect("an answer").status, eq(200));
    };
}
