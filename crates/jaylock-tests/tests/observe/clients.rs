use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_standin::{
    Announcement, Backend, Caller, CallerRequest, CallerSettings, Heartbeat, Outcome, Registration,
    sha256_hex,
};
use jaylock_tests::cases;
use serde_json::json;

use crate::instance::FakeInstance;

/// A backend server without requests.
struct IdleBackend;

impl Backend for IdleBackend {
    fn announcement(&self) -> Announcement {
        Announcement {
            id: "engine-1".into(),
            incarnation: 1,
            pool: "main".into(),
            kind: "engine".into(),
            address: unreachable_address(),
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

/// An address that refuses connections.
fn unreachable_address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("an address")
}

fn start_registration(seeds: Vec<SocketAddr>) -> Rc<Registration<IdleBackend>> {
    let registration = Rc::new(Registration::new(Rc::new(IdleBackend), seeds));
    let shared = registration.clone();
    compio::runtime::spawn(async move { shared.run().await }).detach();
    registration
}

async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition was not met within 10 s"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn caller(instance: &FakeInstance) -> Caller {
    Caller::new(CallerSettings {
        seeds: vec![instance.address],
        key: "key".into(),
        max_retry_pause: Duration::from_millis(50),
        ..CallerSettings::default()
    })
}

fn service_call() -> CallerRequest {
    CallerRequest::Call {
        service: "caseapp".into(),
        path: "/refunds/1".into(),
        body: "refund".into(),
        key: "1".into(),
    }
}

/// The response of a stand-in service that received a body at a path.
fn service_response(path: &str, body: &str) -> serde_json::Value {
    json!({"service": "s", "method": "POST", "path": path, "request": "", "key": "1",
        "organisation": "", "digest": sha256_hex(body.as_bytes())})
}

cases! {
    async backend_server_announces_itself_again_when_unknown => {
        let instance = FakeInstance::start(vec![]).await;
        let registration = start_registration(vec![instance.address]);
        wait_until(|| instance.count_requests("/v1/backends/heartbeat") > 2).await;
        expect_that!(instance.count_requests("/v1/backends/announce"), eq(1));
        instance.is_registered.set(false);
        wait_until(|| instance.count_requests("/v1/backends/announce") == 2).await;
        registration.leave().await;
        expect_that!(instance.count_requests("/v1/backends/leave"), eq(1));
    };
    async backend_server_switches_to_a_reachable_instance => {
        let instance = FakeInstance::start(vec![unreachable_address(), unreachable_address()]).await;
        let _registration = start_registration(vec![unreachable_address(), instance.address]);
        wait_until(|| instance.count_requests("/v1/backends/heartbeat") > 0).await;
    };
    async caller_retries_after_not_run_refusals => {
        let instance = FakeInstance::start(vec![unreachable_address()]).await;
        instance.remaining_refusals.set(2);
        *instance.response.borrow_mut() = service_response("/refunds/1", "refund");
        let account = caller(&instance).run(service_call()).await;
        expect_that!(account.outcome, eq(Outcome::Served));
        expect_that!(account.attempts.len(), ge(3));
        expect_that!(instance.count_requests("/services/caseapp/refunds/1"), eq(3));
    };
    async caller_detects_a_wrong_response => {
        let instance = FakeInstance::start(vec![]).await;
        for response in [
            service_response("/refunds/2", "refund"),
            service_response("/refunds/1", "other"),
            json!({}),
        ] {
            *instance.response.borrow_mut() = response;
            let account = caller(&instance).run(service_call()).await;
            expect_that!(account.outcome, eq(Outcome::Wrong));
        }
    };
}
