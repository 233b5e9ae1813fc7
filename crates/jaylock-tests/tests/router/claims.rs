//! Claims of non-idempotent requests: at most one run, with a correct run status.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_tests::cases;

use crate::backend::{Backend, Received, Step, plain_response};
use crate::fakes::FakeCommandLog;
use crate::harness::{TestRouter, chat_body};

fn short_timeouts() -> RouterSettings {
    RouterSettings {
        once_timeout: Duration::from_secs(1),
        commit_timeout: Duration::from_millis(200),
        ..RouterSettings::default()
    }
}

fn declined(r: &Received) -> Vec<Step> {
    let head = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n";
    vec![Step::Send(format!(
        "{head}x-request-id: {}\r\n\r\n",
        r.id()
    ))]
}

fn slow(r: &Received, body: &str) -> Vec<Step> {
    let mut steps = vec![Step::Wait(Duration::from_millis(150))];
    steps.extend(plain_response(r, 200, body));
    steps
}

/// Checks that the outcome is unknown after a failed call and after a retry with the same key.
async fn expect_unknown(
    script: impl Fn(&Received) -> Vec<Step> + 'static,
) -> (Backend, TestRouter) {
    let service = Backend::start(script).await;
    let router = TestRouter::start(&[service.address], short_timeouts()).await;
    let first = router.call_once("k", "5 JOD").await;
    assert_that!((first.status, first.run.as_str()), eq((409, "unknown")));
    let second = router.call_once("k", "5 JOD").await;
    assert_that!((second.status, second.run.as_str()), eq((409, "unknown")));
    (service, router)
}

/// Returns the status and the run status for a claim in the given state.
async fn response_to(kind: Kind) -> (u16, String) {
    let service = Backend::start(|r| plain_response(r, 200, "ok")).await;
    let router = TestRouter::start(&[service.address], short_timeouts()).await;
    router.command_log.0.claim_kind.set(Some(kind));
    let response = router.call_once("k", "x").await;
    assert_that!(service.request_count(), eq(0));
    (response.status, response.run)
}

cases! {
    async outcome_is_unknown_after_a_lost_connection => {
        let (service, _) = expect_unknown(|_| vec![Step::Close]).await;
        assert_that!(service.request_count(), eq(1));
    };
    async outcome_is_unknown_after_a_timeout => {
        let (service, router) = expect_unknown(|_| vec![Step::AwaitDisconnect]).await;
        assert_that!(service.request_count(), eq(1));
        assert_that!(router.command_log.0.claims.borrow()[0].1.as_ref().map(|r| r.known), some(eq(false)));
    };
    async does_not_record_a_truncated_response => {
        let short = |r: &Received| {
            let Step::Send(text) = plain_response(r, 200, "12345").remove(0) else { unreachable!() };
            vec![Step::Send(text[..text.len() - 2].to_owned()), Step::Close]
        };
        let (service, _) = expect_unknown(short).await;
        assert_that!(service.request_count(), eq(1));
    };
    async retries_a_declined_call_at_another_backend_server => {
        let full = Backend::start(declined).await;
        let free = Backend::start(|r| plain_response(r, 200, "ok")).await;
        let router = TestRouter::start(&[full.address, free.address], short_timeouts()).await;
        let response = router.call_once("k", "x").await;
        assert_that!((response.status, response.run.as_str()), eq((200, "ran")));
        assert_that!(free.request_count(), eq(1));
    };
    async releases_the_claim_of_a_refused_call => {
        let router = TestRouter::start(&[], short_timeouts()).await;
        let response = router.call_once("k", "x").await;
        assert_that!((response.status, response.run.as_str()), eq((503, "not-run")));
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(router.command_log.0.claims.borrow().len(), eq(0));
    };
    async sends_nothing_without_a_confirmed_claim => {
        let service = Backend::start(|r| plain_response(r, 200, "ok")).await;
        let router = TestRouter::start(&[service.address], short_timeouts()).await;
        router.command_log.0.is_unreachable.set(true);
        let response = router.call_once("k", "x").await;
        assert_that!((response.status, response.run.as_str()), eq((503, "unknown")));
        assert_that!(service.request_count(), eq(0));
    };
    async runs_once_for_concurrent_retries_at_two_routers => {
        let service = Backend::start(|r| slow(r, "ok")).await;
        let command_log = FakeCommandLog::default();
        let one = TestRouter::with_command_log(&[service.address], short_timeouts(), command_log.clone()).await;
        let two = TestRouter::with_command_log(&[service.address], short_timeouts(), command_log).await;
        let (a, b) = futures_util::future::join(one.call_once("k", "x"), two.call_once("k", "x")).await;
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_that!(statuses, eq([200, 409]));
        let later = two.call_once("k", "x").await;
        assert_that!((later.status, later.is_recorded), eq((200, true)));
        assert_that!(service.request_count(), eq(1));
    };
    async continues_a_non_idempotent_call_after_its_caller_disconnects => {
        let service = Backend::start(|r| slow(r, "credited")).await;
        let router = TestRouter::start(&[service.address], short_timeouts()).await;
        let timeout = Duration::from_millis(50);
        let outcome = compio::time::timeout(timeout, router.call_once("k", "x")).await;
        assert_that!(outcome.is_err(), eq(true));
        compio::time::sleep(Duration::from_millis(250)).await;
        let response = router.call_once("k", "x").await;
        assert_that!((response.body.as_str(), response.is_recorded), eq(("credited", true)));
        assert_that!(service.request_count(), eq(1));
    };
    async explains_after_a_timeout_how_to_get_the_outcome => {
        let service = Backend::start(|r| slow(r, "credited")).await;
        let router = TestRouter::start(&[service.address], short_timeouts()).await;
        let key = [("authorization", "Bearer key-1"), ("idempotency-key", "k")];
        let headers = [key[0], key[1], ("x-deadline-ms", "50")];
        let timed_out = router.send("POST", "/services/caseapp/refund", &headers, "x").await;
        assert_that!((timed_out.status, timed_out.run.as_str()), eq((504, "unknown")));
        assert_that!(timed_out.body, contains_substring("with the same key"));
        let running = router.call_once("k", "x").await;
        assert_that!((running.status, running.run.as_str()), eq((409, "unknown")));
        compio::time::sleep(Duration::from_millis(250)).await;
        assert_that!(router.call_once("k", "x").await.body, eq("credited"));
    };
    async does_not_reuse_an_idle_connection_for_a_non_idempotent_call => {
        let service = Backend::start(|r| plain_response(r, 200, "ok")).await;
        let settings = RouterSettings { max_idle_once: Duration::from_millis(300), ..short_timeouts() };
        let router = TestRouter::start(&[service.address], settings).await;
        router.call_once("k1", "x").await;
        router.call_once("k2", "x").await;
        compio::time::sleep(Duration::from_millis(350)).await;
        router.call_once("k3", "x").await;
        let used: Vec<usize> = service.received.borrow().iter().map(|r| r.connection).collect();
        assert_that!(used, elements_are![eq(&1), eq(&1), eq(&2)]);
    };
    async refuses_an_ambiguous_path => {
        let service = Backend::start(|r| plain_response(r, 200, "ok")).await;
        let router = TestRouter::start(&[service.address], short_timeouts()).await;
        let get = async |path: &str| {
            let head = format!("GET /services/caseapp{path} HTTP/1.1\r\nhost: x\r\n");
            let fields = "authorization: Bearer key-1\r\nconnection: close\r\n\r\n";
            router.send_raw(&format!("{head}{fields}")).await
        };
        for path in ["/look/%2e%2e/refund", "/look/../refund", "/look%2f..%2frefund"] {
            assert_that!(get(path).await, starts_with("HTTP/1.1 400"));
        }
        assert_that!(get("/lookout").await, starts_with("HTTP/1.1 428"));
        assert_that!(service.request_count(), eq(0));
    };
    async maps_each_claim_state_to_a_status => {
        assert_that!(response_to(Kind::Pending).await, eq(&(409, "unknown".to_owned())));
        assert_that!(response_to(Kind::Unknown).await, eq(&(409, "unknown".to_owned())));
        assert_that!(response_to(Kind::Mismatch).await, eq(&(422, "not-run".to_owned())));
        assert_that!(response_to(Kind::Expired).await, eq(&(409, "unknown".to_owned())));
        assert_that!(response_to(Kind::Full).await, eq(&(429, "not-run".to_owned())));
    };
    async separates_equal_keys_of_different_organisations => {
        let service = Backend::start(|r| plain_response(r, 200, r.header("x-organisation"))).await;
        let router = TestRouter::start(&[service.address], short_timeouts()).await;
        assert_that!(router.call_once("k", "x").await.body, eq("shop"));
        let spoofed = [("x-organisation", "shop"), ("idempotency-key", "k")];
        let headers = [("authorization", "Bearer key-2"), spoofed[0], spoofed[1]];
        let other = router.send("POST", "/services/caseapp/refund", &headers, "x").await;
        assert_that!((other.body.as_str(), other.is_recorded), eq(("stall", false)));
    };
    async disconnected_router_lists_other_routers => {
        let router = TestRouter::start(&[], short_timeouts()).await;
        router.view.set_connected(false);
        for key in ["Bearer key-1", "Bearer one that only others know"] {
            let key = ("authorization", key);
            let response = router.send("POST", "/v1/chat/completions", &[key], &chat_body(false)).await;
            assert_that!((response.status, response.run.as_str()), eq((503, "not-run")));
            assert_that!(response.body, contains_substring("\"routers\":[\"127.0.0.1:1\"]"));
        }
    };
}
