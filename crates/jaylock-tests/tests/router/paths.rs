//! The simple paths: address list, announcements, models, services, claims, unknown keys.

use googletest::prelude::*;
use jaylock_router::RouterSettings;
use jaylock_rpc::v1::{BackendVerdict, Instance};
use jaylock_tests::cases;

use crate::backend::{Backend, delta, done, last_piece, plain, stream_head, whole_stream};
use crate::fleet::{Fleet, ask};

const KEY: (&str, &str) = ("authorization", "Bearer key-1");

const ANNOUNCEMENT: &str = r#"{"id":"e1","incarnation":1,"pool":"p","kind":"engine",
    "address":"127.0.0.1:9","domain":"amman-a","token":"t","slots":8,"checks_orders":true,
    "models":[{"model":"m","version":"1","adapters":[]}],"fence":0}"#;

async fn fleet() -> Fleet {
    Fleet::start(&[], RouterSettings::default()).await
}

cases! {
    async address_list_names_instances_that_stay => {
        let answer = fleet().await.send("GET", "/v1/routers", &[], "").await;
        assert_that!(answer.status, eq(200));
        assert_that!(answer.body, contains_substring("\"keep_ms\":2000"));
        assert_that!(answer.body, contains_substring("127.0.0.1:1\""));
        assert_that!(answer.body, not(contains_substring("127.0.0.1:2\"")));
    };
    async address_list_names_near_instances_alone_where_they_are_enough => {
        let fleet = fleet().await;
        let mut configuration = (*fleet.view.current()).clone();
        configuration.index += 1;
        configuration.instances.push(Instance {
            id: "d".into(),
            domain: "amman-b".into(),
            caller_address: "127.0.0.1:3".into(),
            ..Instance::default()
        });
        assert!(fleet.view.update(configuration));
        for (path, is_told) in [
            ("/v1/routers", true),
            ("/v1/routers?domain=amman-a", false),
            ("/v1/routers?domain=amman-b", true),
        ] {
            let answer = fleet.send("GET", path, &[], "").await;
            assert_that!(answer.body.contains("127.0.0.1:3\""), eq(is_told), "{path}");
        }
    };
    async readiness_ends_with_a_graceful_shutdown => {
        let fleet = fleet().await;
        assert_that!(fleet.send("GET", "/v1/ready", &[], "").await.status, eq(200));
        fleet.router.announce_shutdown();
        let answer = fleet.send("GET", "/v1/ready", &[], "").await;
        assert_that!((answer.status, answer.run.as_str()), eq((503, "not-run")));
    };
    async late_heartbeat_changes_nothing => {
        let fleet = fleet().await;
        fleet.send("POST", "/v1/backends/announce", &[], ANNOUNCEMENT).await;
        for (count, running) in [(2, 5), (1, 7)] {
            let body = format!(r#"{{"id":"e1","incarnation":1,"count":{count},"running":{running}}}"#);
            assert_that!(fleet.send("POST", "/v1/backends/heartbeat", &[], &body).await.status, eq(200));
        }
        let reports = fleet.capacity.0.reports.borrow();
        let told: Vec<(u64, u32)> = reports.iter().map(|r| (r.sequence, r.running)).collect();
        assert_that!(told[1..], elements_are![eq(&(2, 5)), eq(&(2, 5))]);
    };
    async unknown_key_is_refused_not_run => {
        let fleet = fleet().await;
        let wrong = ("authorization", "Bearer other");
        let answer = fleet.send("POST", "/v1/chat/completions", &[wrong], &ask(false)).await;
        assert_that!(answer.status, eq(401));
        assert_that!(answer.run, eq("not-run"));
        assert_that!(fleet.capacity.0.asks.borrow().len(), eq(0));
    };
    async whole_answer_is_put_together => {
        let engine = Backend::start(|seen| whole_stream(seen, 3)).await;
        let fleet = Fleet::start(&[engine.address], RouterSettings::default()).await;
        let answer = fleet.chat(&ask(false)).await;
        assert_that!(answer.status, eq(200));
        assert_that!(answer.run, eq("ran"));
        assert_that!(answer.body, contains_substring("\"content\":\"t1 t2 t3 \""));
        assert_that!(answer.body, contains_substring("\"finish_reason\":\"stop\""));
        let ends = fleet.capacity.0.ends.borrow();
        assert_that!(ends.len(), eq(1));
        assert_that!(ends[0].outcome, eq(0));
    };
    async whole_answer_keeps_every_part_of_the_message => {
        let engine = Backend::start(|s| {
            let call = |part: &str| format!("{{\"role\":\"assistant\",\"tool_calls\":[{part}]}}");
            let head = r#"{"index":0,"id":"c1","type":"function","function":{"name":"f","arguments":"{\"a\""}}"#;
            let tail = r#"{"index":0,"function":{"arguments":":1}"}}"#;
            let other = r#"{"index":1,"id":"c2","type":"function","function":{"name":"g","arguments":"{}"}}"#;
            let parts = [head, tail, other].map(call);
            let pieces = (1..).zip(&parts).map(|(n, part)| delta(s, n, part));
            [stream_head(s)].into_iter().chain(pieces).chain([last_piece(s, 4), done()]).collect()
        })
        .await;
        let fleet = Fleet::start(&[engine.address], RouterSettings::default()).await;
        let answer = fleet.chat(&ask(false)).await;
        let answer: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        let message = &answer["choices"][0]["message"];
        assert_that!(message["role"].as_str(), some(eq("assistant")));
        let calls = &message["tool_calls"];
        assert_that!(calls.as_array().map(Vec::len), some(eq(2)));
        assert_that!(calls[0]["function"]["arguments"].as_str(), some(eq(r#"{"a":1}"#)));
        assert_that!(calls[1]["id"].as_str(), some(eq("c2")));
    };
    async streamed_answer_has_an_explicit_end => {
        let engine = Backend::start(|seen| whole_stream(seen, 3)).await;
        let fleet = Fleet::start(&[engine.address], RouterSettings::default()).await;
        let answer = fleet.chat(&ask(true)).await;
        assert_that!(answer.status, eq(200));
        assert_that!(answer.body.matches("\nid: ").count(), eq(3));
        assert_that!(answer.body, ends_with("data: [DONE]\n\n"));
        assert_that!(answer.body, not(contains_substring(engine.seen.borrow()[0].id())));
    };
    async scheduler_that_refuses_a_backend_server_is_heard => {
        let fleet = fleet().await;
        let refused = "held elsewhere".to_owned();
        let verdict = BackendVerdict { backend: "e1".into(), incarnation: 1, refused, sequence: 0 };
        fleet.capacity.0.verdicts.borrow_mut().push(verdict);
        let answer = fleet.send("POST", "/v1/backends/announce", &[], ANNOUNCEMENT).await;
        assert_that!(answer.status, eq(409));
        assert_that!(answer.body, contains_substring("held elsewhere"));
        let heartbeat = r#"{"id":"e1","incarnation":1}"#;
        let answer = fleet.send("POST", "/v1/backends/heartbeat", &[], heartbeat).await;
        assert_that!(answer.status, eq(409));
    };
    async keys_follow_the_configuration => {
        let fleet = fleet().await;
        assert_that!(fleet.chat("{}").await.status, eq(400));
        let mut next = (*fleet.view.current()).clone();
        next.index += 1;
        next.organisations.retain(|o| o.id != "shop");
        assert_that!(fleet.view.update(next), eq(true));
        assert_that!(fleet.chat("{}").await.status, eq(401));
    };
    async model_and_adapter_must_be_configured => {
        let fleet = fleet().await;
        let unknown = fleet.chat(&ask(false).replace("\"m\"", "\"z\"")).await;
        assert_that!((unknown.status, unknown.run.as_str()), eq((404, "not-run")));
        let adapter = fleet.chat(&ask(false).replace("\"m\"", "\"m:z\"")).await;
        assert_that!(adapter.status, eq(404));
        let broken = fleet.chat("{\"model\":").await;
        assert_that!((broken.status, broken.run.as_str()), eq((400, "not-run")));
    };
    async resend_under_a_key_gets_the_recorded_answer => {
        let service = Backend::start(|seen| plain(seen, 201, "refunded")).await;
        let fleet = Fleet::start(&[service.address], RouterSettings::default()).await;
        let first = fleet.once("k", "5 JOD").await;
        assert_that!((first.status, first.body.as_str()), eq((201, "refunded")));
        assert_that!(first.recorded, eq(false));
        let second = fleet.once("k", "5 JOD").await;
        assert_that!((second.status, second.body.as_str()), eq((201, "refunded")));
        assert_that!(second.recorded, eq(true));
        let other = fleet.once("k", "6 JOD").await;
        assert_that!((other.status, other.run.as_str()), eq((422, "not-run")));
        assert_that!(service.count(), eq(1));
        assert_that!(service.seen.borrow()[0].head, starts_with("post /refund http/1.1"));
    };
    async once_only_call_without_a_key_is_refused => {
        let service = Backend::start(|seen| plain(seen, 200, "ok")).await;
        let fleet = Fleet::start(&[service.address], RouterSettings::default()).await;
        let answer = fleet.send("POST", "/services/caseapp/refund", &[KEY], "x").await;
        assert_that!((answer.status, answer.run.as_str()), eq((428, "not-run")));
        let look = fleet.send("GET", "/services/caseapp/look/1", &[KEY], "").await;
        assert_that!((look.status, look.run.as_str()), eq((200, "ran")));
        assert_that!(service.count(), eq(1));
    };
    async announcement_heartbeat_and_leave_reach_the_scheduler => {
        let fleet = fleet().await;
        let post = async |path: &str, body: &str| fleet.send("POST", path, &[], body).await.status;
        let heartbeat = r#"{"id":"e1","incarnation":1,"running":2,"waiting":1,
            "cached":["00000000000000ff"],"evicted":[],"models":[],"fence":3}"#;
        assert_that!(post("/v1/backends/heartbeat", heartbeat).await, eq(404));
        assert_that!(post("/v1/backends/announce", ANNOUNCEMENT).await, eq(200));
        let thief = ANNOUNCEMENT.replace("\"t\"", "\"other\"");
        assert_that!(post("/v1/backends/announce", &thief).await, eq(409));
        let earlier = ANNOUNCEMENT.replace("\"incarnation\":1", "\"incarnation\":0");
        assert_that!(post("/v1/backends/announce", &earlier).await, eq(409));
        assert_that!(post("/v1/backends/announce", "{}").await, eq(400));
        let many = ANNOUNCEMENT.replace("\"slots\":8", "\"slots\":5000");
        assert_that!(post("/v1/backends/announce", &many).await, eq(400));
        assert_that!(post("/v1/backends/heartbeat", heartbeat).await, eq(200));
        let leave = r#"{"id":"e1","incarnation":1}"#;
        assert_that!(post("/v1/backends/leave", leave).await, eq(200));
        let reports = fleet.capacity.0.reports.borrow();
        assert_that!(reports.len(), eq(3));
        assert_that!(reports[1].cached, elements_are![eq(&255)]);
        assert_that!((reports[1].running, reports[1].fence), eq((2, 3)));
        assert_that!(reports[2].leaving, eq(true));
    };
}
