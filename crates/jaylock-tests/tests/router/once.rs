//! Requests that may not be repeated: at most one run, and a true word about it.

use std::time::Duration;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_rpc::v1::claim_state::Kind;
use jaylock_tests::cases;

use crate::backend::{Act, Backend, Seen, plain};
use crate::fleet::{Fleet, ask};
use crate::port::FakeClaims;

fn quick() -> RouterSettings {
    RouterSettings {
        once_timeout: Duration::from_secs(1),
        settle_timeout: Duration::from_millis(200),
        ..RouterSettings::default()
    }
}

fn declined(seen: &Seen) -> Vec<Act> {
    let head = "HTTP/1.1 503 X\r\nx-not-run: true\r\ncontent-length: 0\r\n";
    vec![Act::Send(format!(
        "{head}x-request-id: {}\r\n\r\n",
        seen.id()
    ))]
}

fn slow(seen: &Seen, body: &str) -> Vec<Act> {
    let mut acts = vec![Act::Wait(Duration::from_millis(150))];
    acts.extend(plain(seen, 200, body));
    acts
}

async fn after_failure(script: impl Fn(&Seen) -> Vec<Act> + 'static) -> (Backend, Fleet) {
    let service = Backend::start(script).await;
    let fleet = Fleet::start(&[service.address], quick()).await;
    let first = fleet.once("k", "5 JOD").await;
    assert_that!((first.status, first.run.as_str()), eq((409, "unknown")));
    let second = fleet.once("k", "5 JOD").await;
    assert_that!((second.status, second.run.as_str()), eq((409, "unknown")));
    (service, fleet)
}

/// What a caller hears when the log answers its claim so.
async fn heard(kind: Kind) -> (u16, String) {
    let service = Backend::start(|s| plain(s, 200, "ok")).await;
    let fleet = Fleet::start(&[service.address], quick()).await;
    fleet.claims.0.answer.set(Some(kind));
    let answer = fleet.once("k", "x").await;
    assert_that!(service.count(), eq(0));
    (answer.status, answer.run)
}

cases! {
    async broken_connection_leaves_the_outcome_unknown => {
        let (service, _) = after_failure(|_| vec![Act::Close]).await;
        assert_that!(service.count(), eq(1));
    };
    async silent_service_leaves_the_outcome_unknown => {
        let (service, fleet) = after_failure(|_| vec![Act::Hang]).await;
        assert_that!(service.count(), eq(1));
        assert_that!(fleet.claims.0.claims.borrow()[0].1.as_ref().map(|s| s.known), some(eq(false)));
    };
    async shortened_answer_is_not_recorded => {
        let short = |s: &Seen| {
            let Act::Send(text) = plain(s, 200, "12345").remove(0) else { unreachable!() };
            vec![Act::Send(text[..text.len() - 2].to_owned()), Act::Close]
        };
        let (service, _) = after_failure(short).await;
        assert_that!(service.count(), eq(1));
    };
    async declined_call_goes_to_another_backend_server => {
        let full = Backend::start(declined).await;
        let free = Backend::start(|s| plain(s, 200, "ok")).await;
        let fleet = Fleet::start(&[full.address, free.address], quick()).await;
        let answer = fleet.once("k", "x").await;
        assert_that!((answer.status, answer.run.as_str()), eq((200, "ran")));
        assert_that!(free.count(), eq(1));
    };
    async refused_call_gives_its_claim_back => {
        let fleet = Fleet::start(&[], quick()).await;
        let answer = fleet.once("k", "x").await;
        assert_that!((answer.status, answer.run.as_str()), eq((503, "not-run")));
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_that!(fleet.claims.0.claims.borrow().len(), eq(0));
    };
    async silent_control_lets_no_byte_leave => {
        let service = Backend::start(|s| plain(s, 200, "ok")).await;
        let fleet = Fleet::start(&[service.address], quick()).await;
        fleet.claims.0.silent.set(true);
        let answer = fleet.once("k", "x").await;
        assert_that!((answer.status, answer.run.as_str()), eq((503, "unknown")));
        assert_that!(service.count(), eq(0));
    };
    async two_resends_through_two_routers_run_once => {
        let service = Backend::start(|s| slow(s, "ok")).await;
        let claims = FakeClaims::default();
        let one = Fleet::with_claims(&[service.address], quick(), claims.clone()).await;
        let two = Fleet::with_claims(&[service.address], quick(), claims).await;
        let (a, b) = futures_util::future::join(one.once("k", "x"), two.once("k", "x")).await;
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_that!(statuses, eq([200, 409]));
        let later = two.once("k", "x").await;
        assert_that!((later.status, later.recorded), eq((200, true)));
        assert_that!(service.count(), eq(1));
    };
    async action_goes_on_when_its_caller_hangs_up => {
        let service = Backend::start(|s| slow(s, "credited")).await;
        let fleet = Fleet::start(&[service.address], quick()).await;
        let limit = Duration::from_millis(50);
        let hung_up = compio::time::timeout(limit, fleet.once("k", "x")).await;
        assert_that!(hung_up.is_err(), eq(true));
        compio::time::sleep(Duration::from_millis(250)).await;
        let answer = fleet.once("k", "x").await;
        assert_that!((answer.body.as_str(), answer.recorded), eq(("credited", true)));
        assert_that!(service.count(), eq(1));
    };
    async caller_whose_time_is_over_hears_how_to_learn_the_outcome => {
        let service = Backend::start(|s| slow(s, "credited")).await;
        let fleet = Fleet::start(&[service.address], quick()).await;
        let key = [("authorization", "Bearer key-1"), ("idempotency-key", "k")];
        let fields = [key[0], key[1], ("x-deadline-ms", "50")];
        let late = fleet.send("POST", "/services/caseapp/refund", &fields, "x").await;
        assert_that!((late.status, late.run.as_str()), eq((504, "unknown")));
        assert_that!(late.body, contains_substring("with the same key"));
        let running = fleet.once("k", "x").await;
        assert_that!((running.status, running.run.as_str()), eq((409, "unknown")));
        compio::time::sleep(Duration::from_millis(250)).await;
        assert_that!(fleet.once("k", "x").await.body, eq("credited"));
    };
    async connection_that_was_idle_is_not_used => {
        let service = Backend::start(|s| plain(s, 200, "ok")).await;
        let settings = RouterSettings { max_idle_once: Duration::from_millis(300), ..quick() };
        let fleet = Fleet::start(&[service.address], settings).await;
        fleet.once("k1", "x").await;
        fleet.once("k2", "x").await;
        compio::time::sleep(Duration::from_millis(350)).await;
        fleet.once("k3", "x").await;
        let used: Vec<usize> = service.seen.borrow().iter().map(|s| s.connection).collect();
        assert_that!(used, elements_are![eq(&1), eq(&1), eq(&2)]);
    };
    async path_in_disguise_is_refused => {
        let service = Backend::start(|s| plain(s, 200, "ok")).await;
        let fleet = Fleet::start(&[service.address], quick()).await;
        let get = async |path: &str| {
            let head = format!("GET /services/caseapp{path} HTTP/1.1\r\nhost: x\r\n");
            let fields = "authorization: Bearer key-1\r\nconnection: close\r\n\r\n";
            fleet.raw(&format!("{head}{fields}")).await
        };
        for path in ["/look/%2e%2e/refund", "/look/../refund", "/look%2f..%2frefund"] {
            assert_that!(get(path).await, starts_with("HTTP/1.1 400"));
        }
        assert_that!(get("/lookout").await, starts_with("HTTP/1.1 428"));
        assert_that!(service.count(), eq(0));
    };
    async every_state_of_a_claim_has_an_answer_of_its_own => {
        assert_that!(heard(Kind::Pending).await, eq(&(409, "unknown".to_owned())));
        assert_that!(heard(Kind::Unknown).await, eq(&(409, "unknown".to_owned())));
        assert_that!(heard(Kind::Mismatch).await, eq(&(422, "not-run".to_owned())));
        assert_that!(heard(Kind::Expired).await, eq(&(409, "unknown".to_owned())));
        assert_that!(heard(Kind::Full).await, eq(&(429, "not-run".to_owned())));
    };
    async answer_under_a_key_stays_within_its_organisation => {
        let service = Backend::start(|s| plain(s, 200, s.header("x-organisation"))).await;
        let fleet = Fleet::start(&[service.address], quick()).await;
        assert_that!(fleet.once("k", "x").await.body, eq("shop"));
        let spoof = [("x-organisation", "shop"), ("idempotency-key", "k")];
        let fields = [("authorization", "Bearer key-2"), spoof[0], spoof[1]];
        let other = fleet.send("POST", "/services/caseapp/refund", &fields, "x").await;
        assert_that!((other.body.as_str(), other.recorded), eq(("stall", false)));
    };
    async router_that_is_cut_off_names_others => {
        let fleet = Fleet::start(&[], quick()).await;
        fleet.view.set_connected(false);
        for key in ["Bearer key-1", "Bearer one that only others know"] {
            let key = ("authorization", key);
            let answer = fleet.send("POST", "/v1/chat/completions", &[key], &ask(false)).await;
            assert_that!((answer.status, answer.run.as_str()), eq((503, "not-run")));
            assert_that!(answer.body, contains_substring("\"routers\":[\"127.0.0.1:1\"]"));
        }
    };
}
