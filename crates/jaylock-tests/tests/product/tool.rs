use std::net::SocketAddr;

use googletest::prelude::*;
use jaylock_rpc::v1;
use jaylock_rpc::v1::applied::Result as Applied;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::route::Kind;
use jaylock_tests::cases;
use jaylock_tests::fleet::Outcome;
use jaylock_types::KeyHash;

use crate::fake::{Answer, Fake, Script, run};

const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A configuration at revision 4 with one organisation.
fn script() -> Script {
    let organisation = v1::Organisation {
        id: "zarqa".into(),
        weight: 2,
        key_hashes: vec![KeyHash::from_key("old-key-1").0.to_vec()],
        queue_limit: 5,
        priority: None,
    };
    let config = v1::Configuration {
        revision: 4,
        organisations: vec![organisation],
        ..Default::default()
    };
    Script {
        config,
        ..Default::default()
    }
}

fn answering(answers: Vec<Answer>) -> Fake {
    Fake::start(Script {
        answers,
        ..script()
    })
}

/// Ids and expected revisions of the changes that arrived.
fn arrived(fake: &Fake) -> Vec<(String, Option<u64>)> {
    let script = fake.script.lock().expect("a lock");
    let commands = script.commands.iter();
    commands
        .map(|c| (c.id.clone(), c.expected_revision))
        .collect()
}

fn last_organisation(fake: &Fake) -> v1::Organisation {
    let script = fake.script.lock().expect("a lock");
    match &script.commands.last().expect("a command").body {
        Some(Body::PutOrganisation(organisation)) => organisation.clone(),
        other => panic!("{other:?} puts no organisation"),
    }
}

fn error_kind(outcome: &Outcome) -> String {
    let value: serde_json::Value = serde_json::from_str(&outcome.err).expect("JSON");
    value["error"]["kind"].as_str().expect("a kind").into()
}

cases! {
    sends_only_the_hash_of_a_key => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["organisation", "create", "irbid", "--key", "irbid-key-1"]);
        assert_that!(outcome.code, eq(0));
        let sent = last_organisation(&fake);
        assert_that!(sent.key_hashes, elements_are![eq(&KeyHash::from_key("irbid-key-1").0.to_vec())]);
        assert_that!(arrived(&fake)[0].1, some(eq(4)));
    };
    prints_a_made_key_once_and_sends_its_hash => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["organisation", "create", "irbid", "--new-key", "--json"]);
        let printed: serde_json::Value = serde_json::from_str(&outcome.out).expect("JSON");
        let key = printed["key"].as_str().expect("a key");
        assert_that!(last_organisation(&fake).key_hashes, elements_are![eq(&KeyHash::from_key(key).0.to_vec())]);
    };
    update_keeps_what_is_not_given => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["organisation", "update", "zarqa", "--key", "new-key-1"]);
        assert_that!(outcome.code, eq(0));
        let sent = last_organisation(&fake);
        assert_that!((sent.weight, sent.queue_limit, sent.key_hashes.len()), eq((2, 5, 2)));
    };
    a_route_is_put_together_from_options => {
        let fake = Fake::start(script());
        let outcome = fake.run(&[
            "route", "create", "claims", "--host", "app.example", "--prefix", "/claims/", "--kind",
            "stream", "--timeout-ms", "4000", "--resumable", "true", "--target", "caseapp=90",
            "--target", "next=10",
        ]);
        assert_that!(outcome.code, eq(0), "{}", outcome.err);
        let script = fake.script.lock().expect("a lock");
        let Some(Body::PutRoute(route)) = script.commands[0].body.clone() else {
            panic!("no route was sent");
        };
        let targets: Vec<_> = route.targets.iter().map(|t| (t.service.as_str(), t.weight)).collect();
        assert_that!(targets, elements_are![eq(&("caseapp", 90)), eq(&("next", 10))]);
        assert_that!((route.kind(), route.timeout_ms, route.resumable), eq((Kind::Stream, 4000, true)));
        assert_that!((route.attempts, route.public), eq((1, false)));
    };
    a_wrong_route_is_a_usage_error => {
        let fake = Fake::start(script());
        for wrong in [["--kind", "sometimes"], ["--target", "=1"], ["--target", "caseapp=many"]] {
            let arguments = ["route", "update", "claims", wrong[0], wrong[1]];
            assert_that!(fake.run(&arguments).code, eq(2), "{wrong:?}");
        }
    };
    the_document_in_force_is_shown => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["--json", "document"]);
        let shown: serde_json::Value = serde_json::from_str(&outcome.out).expect("JSON");
        assert_that!((shown["version"].as_u64(), shown["source"].as_str()), eq((Some(7), Some("{}"))));
    };
    create_refuses_what_exists => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["organisation", "create", "zarqa"]);
        assert_that!(outcome.code, eq(1));
        assert_that!(outcome.err, contains_substring("organisation zarqa exists already"));
        assert_that!(arrived(&fake), is_empty());
    };
    repeats_under_the_same_id_after_a_lost_answer => {
        let fake = answering(vec![Answer::Lost, Answer::Lost]);
        let outcome = fake.run(&["backend", "drain", "engine-1"]);
        assert_that!(outcome.code, eq(0));
        let ids: Vec<_> = arrived(&fake).into_iter().map(|(id, _)| id).collect();
        assert_that!(ids, len(eq(3)));
        assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?} are the same");
    };
    tells_how_to_repeat_when_no_answer_comes => {
        let lost = (0..1000).map(|_| Answer::Lost).collect();
        let fake = answering(lost);
        let outcome = fake.run(&["--timeout", "300ms", "backend", "drain", "engine-1"]);
        assert_that!(outcome.code, eq(4));
        let id = arrived(&fake)[0].0.clone();
        assert_that!(outcome.err, contains_substring(format!("--command-id {id}")));
    };
    tells_the_made_key_when_no_answer_comes => {
        let lost = (0..1000).map(|_| Answer::Lost).collect();
        let fake = answering(lost);
        let arguments = ["--timeout", "300ms", "organisation", "create", "irbid", "--new-key"];
        let outcome = fake.run(&arguments);
        assert_that!(outcome.code, eq(4));
        let told = outcome.err.split("--key ").nth(1).expect("a key");
        let key = told.split(' ').next().expect("a word");
        assert_that!(last_organisation(&fake).key_hashes, elements_are![eq(&KeyHash::from_key(key).0.to_vec())]);
    };
    conflict_under_a_given_revision_is_told => {
        let fake = answering(vec![Answer::Applied(Applied::Conflict(7))]);
        let outcome = fake.run(&["--expect", "4", "--json", "organisation", "create", "irbid"]);
        assert_that!(outcome.code, eq(3));
        assert_that!(error_kind(&outcome), eq("conflict"));
        assert_that!(outcome.err, contains_substring("--expect 7"));
        assert_that!(arrived(&fake), len(eq(1)));
    };
    conflict_without_a_given_revision_is_worked_out_again => {
        let fake = answering(vec![Answer::Applied(Applied::Conflict(4))]);
        let outcome = fake.run(&["--command-id", "c1", "organisation", "create", "irbid"]);
        assert_that!(outcome.code, eq(0));
        let ids: Vec<_> = arrived(&fake).into_iter().map(|(id, _)| id).collect();
        assert_that!(ids, elements_are![eq("c1"), eq("c1~1")]);
    };
    resend_of_a_create_takes_the_first_answer => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["--command-id", "c1", "organisation", "create", "zarqa"]);
        assert_that!(outcome.code, eq(0));
        // Under a revision that never comes, only a first answer can be other than a conflict.
        assert_that!(arrived(&fake), elements_are![eq(&(String::from("c1"), Some(u64::MAX)))]);
    };
    clash_under_a_new_id_is_refused => {
        let conflicts = (0..9).map(|_| Answer::Applied(Applied::Conflict(4))).collect();
        let fake = answering(conflicts);
        let outcome = fake.run(&["--command-id", "c1", "organisation", "create", "zarqa"]);
        assert_that!(outcome.code, eq(1));
        assert_that!(outcome.err, contains_substring("exists already"));
    };
    refusal_of_the_log_is_told => {
        let fake = answering(vec![Answer::Applied(Applied::Refused("no such model".into()))]);
        let outcome = fake.run(&["model", "remove", "dossier"]);
        assert_that!((outcome.code, outcome.err.as_str()), eq((1, "jaylock: no such model\n")));
    };
    refusal_of_the_service_is_final => {
        let fake = answering(vec![Answer::Invalid]);
        let outcome = fake.run(&["model", "remove", "dossier"]);
        assert_that!(outcome.code, eq(1));
        assert_that!(arrived(&fake), len(eq(1)));
    };
    wrong_secret_is_refused => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["--secret", "something-else", "config", "show"]);
        assert_that!(outcome.code, eq(1));
        assert_that!(outcome.err, contains_substring("wrong secret"));
    };
    asks_the_next_instance_when_one_is_gone => {
        let fake = Fake::start(script());
        let outcome = run(&[NOWHERE, fake.address], &["organisation", "list", "--json"]);
        assert_that!(outcome.code, eq(0));
        let listed: serde_json::Value = serde_json::from_str(&outcome.out).expect("JSON");
        assert_that!(listed[0]["id"].as_str(), some(eq("zarqa")));
        assert_that!(listed[0]["weight"].as_u64(), some(eq(2)));
    };
    nothing_reached_is_told => {
        let outcome = run(&[NOWHERE], &["--timeout", "300ms", "config", "show"]);
        assert_that!(outcome.code, eq(4));
    };
    wait_names_who_lags => {
        let lag = |instance: &str, revision| v1::InstanceLag {
            instance: instance.into(),
            revision,
            ..Default::default()
        };
        let fake = Fake::start(Script { lagging: vec![lag("a1", 2), lag("a2", 4)], ..script() });
        let outcome = fake.run(&["--timeout", "300ms", "config", "wait"]);
        assert_that!(outcome.code, eq(5));
        assert_that!(outcome.err, contains_substring("revision 4 is not in force on a1 (has 2):"));
        assert_that!(fake.run(&["config", "wait", "2"]).code, eq(0));
    };
    wrong_command_lines_are_usage_errors => {
        let fake = Fake::start(script());
        let wrong: [&[&str]; 7] = [
            &["organisation", "create", "no/slash"],
            &["organisation", "create", "irbid", "--key", "short"],
            &["organisation", "create", "irbid", "--weight", "much"],
            &["organisation", "create", "irbid", "--new-key", "--command-id", "c1"],
            &["service", "create", "caseapp", "--repeatable", "/cases"],
            &["model", "create", "dossier"],
            &["--command-id", "", "backend", "drain", "engine-1"],
        ];
        for arguments in wrong {
            assert_that!(fake.run(arguments).code, eq(2), "{arguments:?}");
        }
        assert_that!(arrived(&fake), is_empty());
    };
    repeatable_routes_are_sent => {
        let fake = Fake::start(script());
        let arguments = ["service", "create", "caseapp", "--repeatable", "GET:/", "--repeatable", "*:/search"];
        assert_that!(fake.run(&arguments).code, eq(0));
        let script = fake.script.lock().expect("a lock");
        let Some(Body::PutService(service)) = &script.commands[0].body else {
            panic!("no service");
        };
        let routes = service.repeatable.iter().map(|r| (r.method.as_str(), r.prefix.as_str()));
        assert_that!(routes.collect::<Vec<_>>(), elements_are![eq(&("GET", "/")), eq(&("", "/search"))]);
    };
    a_scheduler_that_gave_no_answer_is_told => {
        let fake = Fake::start(script());
        let outcome = fake.run(&["backend", "list"]);
        assert_that!(outcome.out, contains_substring("no answer from: jaylock-pool"));
    };
    completions_need_no_fleet => {
        let outcome = run(&[NOWHERE], &["completions", "bash"]);
        assert_that!(outcome.code, eq(0));
        assert_that!(outcome.out, contains_substring("organisation"));
    };
}
