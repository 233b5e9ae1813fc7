use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_standin::{
    Announcement, Backend, Caller, CallerSettings, Errand, Heartbeat, Outcome, Registration, digest,
};
use jaylock_tests::cases;
use serde_json::json;

use crate::instance::FakeInstance;

struct Quiet;

impl Backend for Quiet {
    fn announcement(&self) -> Announcement {
        Announcement {
            id: "engine-1".into(),
            incarnation: 1,
            pool: "main".into(),
            kind: "engine".into(),
            address: nobody(),
            domain: "a".into(),
            token: String::new(),
            slots: 1,
            checks_orders: false,
            models: Vec::new(),
            fence: 0,
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat::default()
    }
}

/// An address at which nobody listens.
fn nobody() -> SocketAddr {
    "127.0.0.1:1".parse().expect("an address")
}

fn registration(seeds: Vec<SocketAddr>) -> Rc<Registration<Quiet>> {
    let registration = Rc::new(Registration::new(Rc::new(Quiet), seeds));
    let running = registration.clone();
    compio::runtime::spawn(async move { running.run().await }).detach();
    registration
}

async fn until(reached: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !reached() {
        assert!(Instant::now() < end, "it did not happen within 10 s");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn caller(instance: &FakeInstance) -> Caller {
    Caller::new(CallerSettings {
        seeds: vec![instance.address],
        key: "key".into(),
        longest_pause: Duration::from_millis(50),
        ..CallerSettings::default()
    })
}

fn call() -> Errand {
    Errand::Call {
        service: "caseapp".into(),
        path: "/refunds/1".into(),
        body: "refund".into(),
        key: "1".into(),
    }
}

fn note(path: &str, body: &str) -> serde_json::Value {
    json!({"service": "s", "method": "POST", "path": path, "request": "", "key": "1",
        "organisation": "", "digest": digest(body.as_bytes())})
}

cases! {
    async a_backend_server_announces_itself_again_when_it_is_not_known => {
        let instance = FakeInstance::start(vec![]).await;
        let registration = registration(vec![instance.address]);
        until(|| instance.count("/v1/backends/heartbeat") > 2).await;
        expect_that!(instance.count("/v1/backends/announce"), eq(1));
        instance.knows.set(false);
        until(|| instance.count("/v1/backends/announce") == 2).await;
        registration.leave().await;
        expect_that!(instance.count("/v1/backends/leave"), eq(1));
    };
    async a_backend_server_moves_on_from_an_instance_that_is_gone => {
        let instance = FakeInstance::start(vec![nobody(), nobody()]).await;
        let _registration = registration(vec![nobody(), instance.address]);
        until(|| instance.count("/v1/backends/heartbeat") > 0).await;
    };
    async a_caller_asks_again_after_refusals_that_say_not_run => {
        let instance = FakeInstance::start(vec![nobody()]).await;
        instance.refusals.set(2);
        *instance.answer.borrow_mut() = note("/refunds/1", "refund");
        let account = caller(&instance).run(call()).await;
        expect_that!(account.outcome, eq(Outcome::Served));
        expect_that!(account.attempts.len(), ge(3));
        expect_that!(instance.count("/services/caseapp/refunds/1"), eq(3));
    };
    async a_caller_notices_an_answer_that_is_not_its_own => {
        let instance = FakeInstance::start(vec![]).await;
        for wrong in [note("/refunds/2", "refund"), note("/refunds/1", "other"), json!({})] {
            *instance.answer.borrow_mut() = wrong;
            let account = caller(&instance).run(call()).await;
            expect_that!(account.outcome, eq(Outcome::Wrong));
        }
    };
}
