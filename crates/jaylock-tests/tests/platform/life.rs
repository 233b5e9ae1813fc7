//! Starts, losses and ends of instances and backend servers.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::{Answer, get};
use serde_json::Value;

use crate::bed::{Backend, Bed, Reply, document, wait_until};

/// Time for which a state must last to count.
const WHILE: Duration = Duration::from_millis(800);

/// Whether an answer holds a document as it was sent.
fn has(answer: &Answer, document: &Value) -> bool {
    let sent = document.to_string();
    answer.body == sent
}

cases! {
    a_fleet_forms_from_three_addresses_and_the_others_join => {
        let mut bed = Bed::start(5, 1);
        bed.configure(&document(1));
        let founders = |bed: &Bed| (0..5).filter(|at| bed.log(*at).contains("forms a group of 3")).count();
        assert_that!(founders(&bed), eq(3));
        wait_until("all five vote", || {
            (0..5).any(|at| bed.log(at).contains("replicas vote: 5"))
        });
        // Two of five may be lost once all vote.
        bed.kill(0);
        bed.kill(1);
        wait_until("a change is acknowledged by three of five", || bed.put(2, &document(2)) == 200);
    };
    a_lost_disk_joins_and_forms_no_group => {
        let mut bed = Bed::start(3, 1);
        bed.configure(&document(1));
        bed.kill(0);
        bed.lose_disk(0);
        bed.restart(0, false);
        wait_until("it learns the document", || {
            bed.read(0).is_some_and(|a| a.status == 200 && has(&a, &document(1)))
        });
        assert_that!(bed.log(0).matches("forms a group").count(), eq(1));
        wait_until("a change is acknowledged there", || bed.put(0, &document(2)) == 200);
    };
    all_control_instances_come_back_with_what_was_acknowledged => {
        let mut bed = Bed::start(3, 1);
        bed.configure(&document(1));
        assert_that!(bed.put(1, &document(5)), eq(200));
        (0..3).for_each(|at| bed.kill(at));
        (0..3).for_each(|at| bed.restart(at, false));
        wait_until("the document is read back", || {
            bed.read(2).is_some_and(|a| a.status == 200 && has(&a, &document(5)))
        });
    };
    without_a_majority_nothing_is_confirmed => {
        let mut bed = Bed::start(3, 1);
        bed.configure(&document(1));
        bed.kill(0);
        bed.kill(1);
        let end = Instant::now() + WHILE;
        while Instant::now() < end {
            let put = bed.put(2, &document(2));
            assert_that!(put, any!(eq(503), eq(0)));
        }
        wait_until("reading is refused", || bed.read(2).is_some_and(|a| a.status == 503));
        wait_until("the router takes nobody", || !bed.is_ready(3));
        wait_until("requests are refused as not now", || bed.caller().send().status() == 503);
    };
    addresses_name_the_routers_near_the_caller => {
        let bed = Bed::start(1, 2);
        bed.configure(&document(1));
        let listed = |query: &str| {
            let answer = bed.addresses(0, query)?;
            let value: Value = serde_json::from_str(&answer.body).ok()?;
            let list = value["addresses"].as_array()?.clone();
            Some((answer.status, list.len(), value["ttl_s"].as_f64()?))
        };
        let all = Some((200, 2, 1.0));
        wait_until("both routers are listed", || listed("name=app.example&region=r&zone=d1") == all);
        assert_that!(listed(""), eq(all));
        assert_that!(listed("zone=nowhere"), eq(all));
    };
    a_leaving_router_is_listed_no_more_and_finishes_what_runs => {
        let mut bed = Bed::start(1, 2);
        bed.configure(&document(1));
        let _backend = Backend::start(&bed, "b1", |r| {
            thread::sleep(Duration::from_millis(1500));
            r.answer("200 OK", "done")
        });
        let front = bed.front(1).to_string();
        wait_until("it is listed", || {
            bed.addresses(0, "").is_some_and(|a| a.body.contains(&front))
        });
        let caller = bed.caller().at("POST", "/once/1");
        let running = thread::spawn(move || caller.send());
        thread::sleep(Duration::from_millis(300));
        let process = bed.take(1);
        let ending = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(process.terminate(Duration::from_secs(8)))
        });
        wait_until("it is not ready", || !bed.is_ready(1));
        wait_until("it is listed no more", || {
            bed.addresses(0, "").is_some_and(|a| a.status == 200 && !a.body.contains(&front))
        });
        let heard = running.join().expect("a caller");
        assert_that!((heard.status(), heard.body.as_str()), eq((200, "done")));
        assert_that!(ending.join().expect("an end").success(), eq(true));
    };
    a_hangup_does_not_end_an_instance => {
        let mut bed = Bed::small();
        let _backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        for at in 0..2 {
            bed.process(at).hang_up();
            wait_until("the settings are read again", || bed.log(at).contains("settings reloaded"));
            assert_that!(bed.process(at).has_ended(), eq(false));
        }
        assert_that!(bed.caller().send().status(), eq(200));
    };
    settings_that_change_without_a_signal_are_taken_up => {
        let mut bed = Bed::small();
        let _backend = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        bed.edit_settings(1, |text| text.replace("seeds = ", "seeds = 127.0.0.1:9,"));
        wait_until("the settings are read again", || bed.log(1).contains("settings reloaded"));
        bed.edit_settings(1, |_| "not a setting".into());
        wait_until("the fault is told", || bed.log(1).contains("new settings are rejected"));
        assert_that!(bed.process(1).has_ended(), eq(false));
        assert_that!(bed.caller().send().status(), eq(200));
    };
    a_leaving_backend_server_gets_nothing_new => {
        let bed = Bed::small();
        let one = Backend::start(&bed, "b1", |r| r.answer("200 OK", "done"));
        let two = Backend::start(&bed, "b2", |r| r.answer("200 OK", "done"));
        assert_that!(one.drain(&bed), eq(200));
        let before = one.received().len();
        let statuses: Vec<u16> = (0..6).map(|_| bed.caller().send().status()).collect();
        assert_that!(statuses, each(eq(&200)));
        assert_that!((one.received().len(), two.received().len()), eq((before, 6)));
        // A heartbeat from before does not bring it back.
        one.late_beat(&bed);
        assert_that!(two.end(&bed), eq(200));
        assert_that!(bed.caller().send().status(), eq(503));
        assert_that!(one.received(), len(eq(before)));
    };
    a_backend_server_at_the_address_of_another_does_not_run_the_request => {
        let bed = Bed::small();
        let _one = Backend::start(&bed, "b1", |_| Reply::of(
            "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: other\r\nContent-Length: 0\r\n\r\n",
        ));
        let heard = bed.caller().at("POST", "/once/1").send();
        assert_that!(heard.status(), eq(503));
        assert_that!(heard.answer.header("retry-after").is_some(), eq(true));
    };
    metrics_are_served_as_text => {
        let bed = Bed::small();
        assert_that!(get(bed.metrics(1), "/metrics").expect("an answer").status, eq(200));
    };
}
