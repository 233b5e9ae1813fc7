//! The router's API: address list, announcements, models, services, claims and keys.

use std::time::Instant;

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_rpc::v1::{BackendVerdict, Instance};
use jaylock_tests::cases;

use crate::backend::{
    Backend, complete_stream, delta, end_marker, final_chunk, plain_response, stream_head,
};
use crate::harness::{TestRouter, chat_body};

const KEY: (&str, &str) = ("authorization", "Bearer key-1");

const ANNOUNCEMENT: &str = r#"{"id":"e1","incarnation":1,"pool":"p","kind":"engine",
    "address":"127.0.0.1:9","domain":"amman-a","token":"t","slots":8,"checks_orders":true,
    "models":[{"model":"m","version":"1","adapters":[]}],"fence":0}"#;

async fn router() -> TestRouter {
    TestRouter::start(&[], RouterSettings::default()).await
}

cases! {
    async lists_addresses_of_instances_that_are_not_leaving => {
        let response = router().await.send("GET", "/v1/routers", &[], "").await;
        assert_that!(response.status, eq(200));
        assert_that!(response.body, contains_substring("\"keep_ms\":2000"));
        assert_that!(response.body, contains_substring("127.0.0.1:1\""));
        assert_that!(response.body, not(contains_substring("127.0.0.1:2\"")));
    };
    async lists_only_nearby_addresses_when_there_are_enough => {
        let router = router().await;
        let mut configuration = (*router.view.current()).clone();
        configuration.index += 1;
        configuration.instances.push(Instance {
            id: "d".into(),
            domain: "amman-b".into(),
            caller_address: "127.0.0.1:3".into(),
            ..Instance::default()
        });
        assert!(router.view.update(configuration));
        for (path, is_listed) in [
            ("/v1/routers", true),
            ("/v1/routers?domain=amman-a", false),
            ("/v1/routers?domain=amman-b", true),
        ] {
            let response = router.send("GET", path, &[], "").await;
            assert_that!(response.body.contains("127.0.0.1:3\""), eq(is_listed), "{path}");
        }
    };
    async is_not_ready_during_a_graceful_shutdown => {
        let router = router().await;
        assert_that!(router.send("GET", "/v1/ready", &[], "").await.status, eq(200));
        router.inner.announce_shutdown(Instant::now());
        let response = router.send("GET", "/v1/ready", &[], "").await;
        assert_that!((response.status, response.run.as_str()), eq((503, "not-run")));
    };
    async ignores_a_late_heartbeat => {
        let router = router().await;
        router.send("POST", "/v1/backends/announce", &[], ANNOUNCEMENT).await;
        for (count, running) in [(2, 5), (1, 7)] {
            let body = format!(r#"{{"id":"e1","incarnation":1,"count":{count},"running":{running}}}"#);
            assert_that!(router.send("POST", "/v1/backends/heartbeat", &[], &body).await.status, eq(200));
        }
        let reports = router.schedulers.0.reports.borrow();
        let reported: Vec<(u64, u32)> = reports.iter().map(|r| (r.sequence, r.running)).collect();
        assert_that!(reported[1..], elements_are![eq(&(2, 5)), eq(&(2, 5))]);
    };
    async refuses_an_unknown_key => {
        let router = router().await;
        let wrong = ("authorization", "Bearer other");
        let response = router.send("POST", "/v1/chat/completions", &[wrong], &chat_body(false)).await;
        assert_that!(response.status, eq(401));
        assert_that!(response.run, eq("not-run"));
        assert_that!(router.schedulers.0.slot_requests.borrow().len(), eq(0));
    };
    async assembles_chunks_into_a_complete_response => {
        let engine = Backend::start(|r| complete_stream(r, 3)).await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let response = router.chat(&chat_body(false)).await;
        assert_that!(response.status, eq(200));
        assert_that!(response.run, eq("ran"));
        assert_that!(response.body, contains_substring("\"content\":\"t1 t2 t3 \""));
        assert_that!(response.body, contains_substring("\"finish_reason\":\"stop\""));
        let released = router.schedulers.0.released.borrow();
        assert_that!(released.len(), eq(1));
        assert_that!(released[0].outcome, eq(0));
    };
    async assembles_all_fields_of_a_message => {
        let engine = Backend::start(|r| {
            let call = |part: &str| format!("{{\"role\":\"assistant\",\"tool_calls\":[{part}]}}");
            let head = r#"{"index":0,"id":"c1","type":"function","function":{"name":"f","arguments":"{\"a\""}}"#;
            let tail = r#"{"index":0,"function":{"arguments":":1}"}}"#;
            let other = r#"{"index":1,"id":"c2","type":"function","function":{"name":"g","arguments":"{}"}}"#;
            let parts = [head, tail, other].map(call);
            let chunks = (1..).zip(&parts).map(|(n, part)| delta(r, n, part));
            [stream_head(r)].into_iter().chain(chunks).chain([final_chunk(r, 4), end_marker()]).collect()
        })
        .await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let response = router.chat(&chat_body(false)).await;
        let response: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
        let message = &response["choices"][0]["message"];
        assert_that!(message["role"].as_str(), some(eq("assistant")));
        let calls = &message["tool_calls"];
        assert_that!(calls.as_array().map(Vec::len), some(eq(2)));
        assert_that!(calls[0]["function"]["arguments"].as_str(), some(eq(r#"{"a":1}"#)));
        assert_that!(calls[1]["id"].as_str(), some(eq("c2")));
    };
    async ends_a_streamed_response_with_the_end_marker => {
        let engine = Backend::start(|r| complete_stream(r, 3)).await;
        let router = TestRouter::start(&[engine.address], RouterSettings::default()).await;
        let response = router.chat(&chat_body(true)).await;
        assert_that!(response.status, eq(200));
        assert_that!(response.body.matches("\nid: ").count(), eq(3));
        assert_that!(response.body, ends_with("data: [DONE]\n\n"));
        assert_that!(response.body, not(contains_substring(engine.received.borrow()[0].id())));
    };
    async returns_the_schedulers_refusal_to_a_backend_server => {
        let router = router().await;
        let refused = "held elsewhere".to_owned();
        let verdict = BackendVerdict { backend: "e1".into(), incarnation: 1, refused, sequence: 0 };
        router.schedulers.0.verdicts.borrow_mut().push(verdict);
        let response = router.send("POST", "/v1/backends/announce", &[], ANNOUNCEMENT).await;
        assert_that!(response.status, eq(409));
        assert_that!(response.body, contains_substring("held elsewhere"));
        let heartbeat = r#"{"id":"e1","incarnation":1}"#;
        let response = router.send("POST", "/v1/backends/heartbeat", &[], heartbeat).await;
        assert_that!(response.status, eq(409));
    };
    async refuses_a_key_that_was_removed_from_the_configuration => {
        let router = router().await;
        assert_that!(router.chat("{}").await.status, eq(400));
        let mut next = (*router.view.current()).clone();
        next.index += 1;
        next.revision += 1;
        next.organisations.retain(|o| o.id != "shop");
        assert_that!(router.view.update(next), eq(true));
        assert_that!(router.chat("{}").await.status, eq(401));
    };
    async refuses_an_unknown_model_or_adapter => {
        let router = router().await;
        let unknown = router.chat(&chat_body(false).replace("\"m\"", "\"z\"")).await;
        assert_that!((unknown.status, unknown.run.as_str()), eq((404, "not-run")));
        let adapter = router.chat(&chat_body(false).replace("\"m\"", "\"m:z\"")).await;
        assert_that!(adapter.status, eq(404));
        let malformed = router.chat("{\"model\":").await;
        assert_that!((malformed.status, malformed.run.as_str()), eq((400, "not-run")));
    };
    async returns_the_recorded_response_to_a_retry_with_the_same_key => {
        let service = Backend::start(|r| plain_response(r, 201, "refunded")).await;
        let router = TestRouter::start(&[service.address], RouterSettings::default()).await;
        let first = router.call_once("k", "5 JOD").await;
        assert_that!((first.status, first.body.as_str()), eq((201, "refunded")));
        assert_that!(first.is_recorded, eq(false));
        let second = router.call_once("k", "5 JOD").await;
        assert_that!((second.status, second.body.as_str()), eq((201, "refunded")));
        assert_that!(second.is_recorded, eq(true));
        let other = router.call_once("k", "6 JOD").await;
        assert_that!((other.status, other.run.as_str()), eq((422, "not-run")));
        assert_that!(service.request_count(), eq(1));
        assert_that!(service.received.borrow()[0].head, starts_with("post /refund http/1.1"));
    };
    async refuses_a_non_idempotent_call_without_a_key => {
        let service = Backend::start(|r| plain_response(r, 200, "ok")).await;
        let router = TestRouter::start(&[service.address], RouterSettings::default()).await;
        let response = router.send("POST", "/services/caseapp/refund", &[KEY], "x").await;
        assert_that!((response.status, response.run.as_str()), eq((428, "not-run")));
        let idempotent = router.send("GET", "/services/caseapp/look/1", &[KEY], "").await;
        assert_that!((idempotent.status, idempotent.run.as_str()), eq((200, "ran")));
        assert_that!(service.request_count(), eq(1));
    };
    async reports_announcement_heartbeat_and_leave_to_the_scheduler => {
        let router = router().await;
        let post = async |path: &str, body: &str| router.send("POST", path, &[], body).await.status;
        let heartbeat = r#"{"id":"e1","incarnation":1,"running":2,"waiting":1,
            "cached":["00000000000000ff"],"evicted":[],"models":[],"fence":3}"#;
        assert_that!(post("/v1/backends/heartbeat", heartbeat).await, eq(404));
        assert_that!(post("/v1/backends/announce", ANNOUNCEMENT).await, eq(200));
        let other_token = ANNOUNCEMENT.replace("\"t\"", "\"other\"");
        assert_that!(post("/v1/backends/announce", &other_token).await, eq(409));
        let earlier = ANNOUNCEMENT.replace("\"incarnation\":1", "\"incarnation\":0");
        assert_that!(post("/v1/backends/announce", &earlier).await, eq(409));
        assert_that!(post("/v1/backends/announce", "{}").await, eq(400));
        let many = ANNOUNCEMENT.replace("\"slots\":8", "\"slots\":5000");
        assert_that!(post("/v1/backends/announce", &many).await, eq(400));
        assert_that!(post("/v1/backends/heartbeat", heartbeat).await, eq(200));
        let leave = r#"{"id":"e1","incarnation":1}"#;
        assert_that!(post("/v1/backends/leave", leave).await, eq(200));
        let reports = router.schedulers.0.reports.borrow();
        assert_that!(reports.len(), eq(3));
        assert_that!(reports[1].cached, elements_are![eq(&255)]);
        assert_that!((reports[1].running, reports[1].fence), eq((2, 3)));
        assert_that!(reports[2].leaving, eq(true));
    };
    // Guards against a departure that is accepted while only one process knows of it.
    async leave_is_accepted_once_the_log_holds_it => {
        let router = router().await;
        let post = async |path: &str, body: &str| router.send("POST", path, &[], body).await.status;
        assert_that!(post("/v1/backends/announce", ANNOUNCEMENT).await, eq(200));
        router.command_log.0.is_unreachable.set(true);
        assert_that!(post("/v1/backends/leave", r#"{"id":"e1","incarnation":1}"#).await, eq(503));
        expect_that!(router.schedulers.0.reports.borrow().last().is_some_and(|r| r.leaving), eq(true));
    };
    async entry_that_fills_messages_between_instances_is_accepted => {
        let router = router().await;
        let post = async |path: &str, body: &str| router.send("POST", path, &[], body).await.status;
        let version = format!("\"software\":\"{}\",\"slots\":8", "v".repeat(1 << 20));
        let long = ANNOUNCEMENT.replace("\"slots\":8", &version);
        assert_that!(post("/v1/backends/announce", &long).await, eq(400));
        assert_that!(post("/v1/backends/announce", ANNOUNCEMENT).await, eq(200));
        let adapters = vec!["\"adapter\""; 10_000].join(",");
        let models = format!(r#""models":[{{"model":"m","version":"1","adapters":[{adapters}]}}]"#);
        let cached = format!(r#""cached":[{}]"#, vec!["\"f\""; 100_000].join(","));
        for field in [models, cached] {
            let heartbeat = format!(r#"{{"id":"e1","incarnation":1,{field}}}"#);
            assert_that!(post("/v1/backends/heartbeat", &heartbeat).await, eq(400));
        }
        assert_that!(post("/v1/backends/heartbeat", r#"{"id":"e1","incarnation":1}"#).await, eq(200));
        let reports = router.schedulers.0.reports.borrow();
        assert_that!(reports.iter().map(|r| r.models[0].adapters.len()).max(), some(eq(0)));
    };
}
