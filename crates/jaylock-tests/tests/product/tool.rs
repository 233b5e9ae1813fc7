use std::fs::File;
use std::io::pipe;
use std::net::SocketAddr;
use std::process::Command;

use googletest::prelude::*;
use jaylock_rpc::v1;
use jaylock_rpc::v1::applied::Result as Applied;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::route::Kind;
use jaylock_tests::fleet::ToolOutput;
use jaylock_tests::{cases, program_path};
use jaylock_types::KeyHash;

use crate::fake::{FakeService, FakeState, Reply, run};

const UNREACHABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A service at revision 4 with one organisation.
fn state() -> FakeState {
    let organisation = v1::Organisation {
        id: "zarqa".into(),
        weight: 2,
        key_hashes: vec![KeyHash::from_key("old-key-1").0.to_vec().into()],
        queue_limit: 5,
        priority: None,
    };
    let config = v1::Configuration {
        revision: 4,
        organisations: vec![organisation],
        ..Default::default()
    };
    FakeState {
        config,
        ..Default::default()
    }
}

/// A service with two domains, of which `east` was evacuated at index 8 and `north` never.
fn state_with_domains() -> FakeState {
    let backend = |domain: &str, state: &str, running, granted| v1::BackendState {
        report: Some(v1::BackendReport {
            domain: domain.into(),
            running,
            ..Default::default()
        }),
        granted,
        state: state.into(),
        ..Default::default()
    };
    let lag = |index| v1::InstanceLag {
        index,
        ..Default::default()
    };
    let evacuation = v1::Evacuation {
        domain: "east".into(),
        index: 8,
        since_ms: 1000,
        restored_ms: 0,
    };
    let config = v1::Configuration {
        domains: vec!["east".into(), "north".into()],
        evacuations: vec![evacuation],
        ..state().config
    };
    FakeState {
        config,
        lagging: vec![lag(7), lag(8), lag(9)],
        backends: vec![
            backend("east", "evacuated", 2, 1),
            backend("east", "ready", 0, 3),
            backend("north", "ready", 1, 1),
        ],
        ..state()
    }
}

/// Orders for failure domains that the service received.
fn received_orders(service: &FakeService) -> Vec<v1::SetEvacuation> {
    let state = service.state.lock().expect("a lock");
    let bodies = state.commands.iter().map(|c| c.body.clone());
    let orders = bodies.filter_map(|body| match body {
        Some(Body::SetEvacuation(order)) => Some(order),
        _ => None,
    });
    orders.collect()
}

fn start_with_replies(replies: Vec<Reply>) -> FakeService {
    FakeService::start(FakeState { replies, ..state() })
}

/// Ids and expected revisions of the received changes.
fn received_changes(service: &FakeService) -> Vec<(String, Option<u64>)> {
    let state = service.state.lock().expect("a lock");
    let commands = state.commands.iter();
    commands
        .map(|c| (c.id.clone(), c.expected_revision))
        .collect()
}

fn last_organisation(service: &FakeService) -> v1::Organisation {
    let state = service.state.lock().expect("a lock");
    match &state.commands.last().expect("a command").body {
        Some(Body::PutOrganisation(organisation)) => organisation.clone(),
        other => panic!("{other:?} puts no organisation"),
    }
}

fn error_kind(outcome: &ToolOutput) -> String {
    let value: serde_json::Value = serde_json::from_str(&outcome.stderr).expect("JSON");
    value["error"]["kind"].as_str().expect("a kind").into()
}

cases! {
    sends_only_the_hash_of_a_key => {
        let service = FakeService::start(state());
        let outcome = service.run(&["organisation", "create", "irbid", "--key", "irbid-key-1"]);
        assert_that!(outcome.exit_code, eq(0));
        let sent = last_organisation(&service);
        assert_that!(sent.key_hashes, elements_are![eq(&KeyHash::from_key("irbid-key-1").0.to_vec())]);
        assert_that!(received_changes(&service)[0].1, some(eq(4)));
    };
    prints_a_generated_key_and_sends_its_hash => {
        let service = FakeService::start(state());
        let outcome = service.run(&["organisation", "create", "irbid", "--new-key", "--json"]);
        let printed: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
        let key = printed["key"].as_str().expect("a key");
        assert_that!(last_organisation(&service).key_hashes, elements_are![eq(&KeyHash::from_key(key).0.to_vec())]);
    };
    update_keeps_values_that_are_not_given => {
        let service = FakeService::start(state());
        let outcome = service.run(&["organisation", "update", "zarqa", "--key", "new-key-1"]);
        assert_that!(outcome.exit_code, eq(0));
        let sent = last_organisation(&service);
        assert_that!((sent.weight, sent.queue_limit, sent.key_hashes.len()), eq((2, 5, 2)));
    };
    creates_a_route_from_options => {
        let service = FakeService::start(state());
        let outcome = service.run(&[
            "route", "create", "claims", "--host", "app.example", "--prefix", "/claims/", "--kind",
            "stream", "--timeout-ms", "4000", "--resumable", "true", "--target", "caseapp=90",
            "--target", "next=10",
        ]);
        assert_that!(outcome.exit_code, eq(0), "{}", outcome.stderr);
        let state = service.state.lock().expect("a lock");
        let Some(Body::PutRoute(route)) = state.commands[0].body.clone() else {
            panic!("no route was sent");
        };
        let targets: Vec<_> = route.targets.iter().map(|t| (t.service.as_str(), t.weight)).collect();
        assert_that!(targets, elements_are![eq(&("caseapp", 90)), eq(&("next", 10))]);
        assert_that!((route.kind(), route.timeout_ms, route.resumable), eq((Kind::Stream, 4000, true)));
        assert_that!((route.attempts, route.public), eq((1, false)));
    };
    refuses_invalid_route_options => {
        let service = FakeService::start(state());
        for options in [["--kind", "sometimes"], ["--target", "=1"], ["--target", "caseapp=many"]] {
            let arguments = ["route", "update", "claims", options[0], options[1]];
            assert_that!(service.run(&arguments).exit_code, eq(2), "{options:?}");
        }
    };
    shows_the_document => {
        let service = FakeService::start(state());
        let outcome = service.run(&["--json", "document"]);
        let shown: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
        assert_that!((shown["version"].as_u64(), shown["source"].as_str()), eq((Some(7), Some("{}"))));
    };
    create_refuses_an_existing_id => {
        let service = FakeService::start(state());
        let outcome = service.run(&["organisation", "create", "zarqa"]);
        assert_that!(outcome.exit_code, eq(1));
        assert_that!(outcome.stderr, contains_substring("organisation zarqa exists already"));
        assert_that!(received_changes(&service), is_empty());
    };
    retries_under_the_same_id_after_a_lost_reply => {
        let service = start_with_replies(vec![Reply::Lost, Reply::Lost]);
        let outcome = service.run(&["backend", "drain", "engine-1"]);
        assert_that!(outcome.exit_code, eq(0));
        let ids: Vec<_> = received_changes(&service).into_iter().map(|(id, _)| id).collect();
        assert_that!(ids, len(eq(3)));
        assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?} are the same");
    };
    prints_the_command_id_without_a_reply => {
        let lost = (0..1000).map(|_| Reply::Lost).collect();
        let service = start_with_replies(lost);
        let outcome = service.run(&["--timeout", "300ms", "backend", "drain", "engine-1"]);
        assert_that!(outcome.exit_code, eq(4));
        let id = received_changes(&service)[0].0.clone();
        assert_that!(outcome.stderr, contains_substring(format!("--command-id {id}")));
    };
    prints_the_generated_key_without_a_reply => {
        let lost = (0..1000).map(|_| Reply::Lost).collect();
        let service = start_with_replies(lost);
        let arguments = ["--timeout", "300ms", "organisation", "create", "irbid", "--new-key"];
        let outcome = service.run(&arguments);
        assert_that!(outcome.exit_code, eq(4));
        let printed = outcome.stderr.split("--key ").nth(1).expect("a key");
        let key = printed.split(' ').next().expect("a word");
        assert_that!(last_organisation(&service).key_hashes, elements_are![eq(&KeyHash::from_key(key).0.to_vec())]);
    };
    reports_a_conflict_with_the_expected_revision => {
        let service = start_with_replies(vec![Reply::Applied(Applied::Conflict(7))]);
        let outcome = service.run(&["--expect", "4", "--json", "organisation", "create", "irbid"]);
        assert_that!(outcome.exit_code, eq(3));
        assert_that!(error_kind(&outcome), eq("conflict"));
        assert_that!(outcome.stderr, contains_substring("--expect 7"));
        assert_that!(received_changes(&service), len(eq(1)));
    };
    computes_the_change_again_after_a_conflict => {
        let service = start_with_replies(vec![Reply::Applied(Applied::Conflict(4))]);
        let outcome = service.run(&["--command-id", "c1", "organisation", "create", "irbid"]);
        assert_that!(outcome.exit_code, eq(0));
        let ids: Vec<_> = received_changes(&service).into_iter().map(|(id, _)| id).collect();
        assert_that!(ids, elements_are![eq("c1"), eq("c1~1")]);
    };
    retry_of_a_create_gets_the_first_reply => {
        let service = FakeService::start(state());
        let outcome = service.run(&["--command-id", "c1", "organisation", "create", "zarqa"]);
        assert_that!(outcome.exit_code, eq(0));
        // For a revision that is never reached, only a stored reply is other than a conflict.
        assert_that!(received_changes(&service), elements_are![eq(&(String::from("c1"), Some(u64::MAX)))]);
    };
    refuses_an_existing_id_under_a_new_command_id => {
        let conflicts = (0..9).map(|_| Reply::Applied(Applied::Conflict(4))).collect();
        let service = start_with_replies(conflicts);
        let outcome = service.run(&["--command-id", "c1", "organisation", "create", "zarqa"]);
        assert_that!(outcome.exit_code, eq(1));
        assert_that!(outcome.stderr, contains_substring("exists already"));
    };
    reports_a_refusal_by_the_log => {
        let service = start_with_replies(vec![Reply::Applied(Applied::Refused("no such model".into()))]);
        let outcome = service.run(&["model", "remove", "dossier"]);
        assert_that!((outcome.exit_code, outcome.stderr.as_str()), eq((1, "jaylock: no such model\n")));
    };
    does_not_retry_a_refusal_by_the_service => {
        let service = start_with_replies(vec![Reply::Invalid]);
        let outcome = service.run(&["model", "remove", "dossier"]);
        assert_that!(outcome.exit_code, eq(1));
        assert_that!(received_changes(&service), len(eq(1)));
    };
    reports_a_wrong_secret => {
        let service = FakeService::start(state());
        let outcome = service.run(&["--secret", "something-else", "config", "show"]);
        assert_that!(outcome.exit_code, eq(1));
        assert_that!(outcome.stderr, contains_substring("wrong secret"));
    };
    calls_the_next_instance_when_one_is_unreachable => {
        let service = FakeService::start(state());
        let outcome = run(&[UNREACHABLE, service.address], &["organisation", "list", "--json"]);
        assert_that!(outcome.exit_code, eq(0));
        let listed: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
        assert_that!(listed[0]["id"].as_str(), some(eq("zarqa")));
        assert_that!(listed[0]["weight"].as_u64(), some(eq(2)));
    };
    fails_when_no_instance_is_reachable => {
        let outcome = run(&[UNREACHABLE], &["--timeout", "300ms", "config", "show"]);
        assert_that!(outcome.exit_code, eq(4));
    };
    wait_names_the_lagging_instances => {
        let lag = |instance: &str, revision| v1::InstanceLag {
            instance: instance.into(),
            revision,
            ..Default::default()
        };
        let service = FakeService::start(FakeState { lagging: vec![lag("a1", 2), lag("a2", 4)], ..state() });
        let outcome = service.run(&["--timeout", "300ms", "config", "wait"]);
        assert_that!(outcome.exit_code, eq(5));
        assert_that!(outcome.stderr, contains_substring("revision 4 is not active on a1 (has 2):"));
        assert_that!(service.run(&["config", "wait", "2"]).exit_code, eq(0));
    };
    refuses_invalid_command_lines => {
        let service = FakeService::start(state());
        let command_lines: [&[&str]; 7] = [
            &["organisation", "create", "no/slash"],
            &["organisation", "create", "irbid", "--key", "short"],
            &["organisation", "create", "irbid", "--weight", "much"],
            &["organisation", "create", "irbid", "--new-key", "--command-id", "c1"],
            &["service", "create", "caseapp", "--repeatable", "/cases"],
            &["model", "create", "dossier"],
            &["--command-id", "", "backend", "drain", "engine-1"],
        ];
        for arguments in command_lines {
            assert_that!(service.run(arguments).exit_code, eq(2), "{arguments:?}");
        }
        assert_that!(received_changes(&service), is_empty());
    };
    sends_repeatable_routes => {
        let service = FakeService::start(state());
        let arguments = ["service", "create", "caseapp", "--repeatable", "GET:/", "--repeatable", "*:/search"];
        assert_that!(service.run(&arguments).exit_code, eq(0));
        let state = service.state.lock().expect("a lock");
        let Some(Body::PutService(sent)) = &state.commands[0].body else {
            panic!("no service");
        };
        let routes = sent.repeatable.iter().map(|r| (r.method.as_str(), r.prefix.as_str()));
        assert_that!(routes.collect::<Vec<_>>(), elements_are![eq(&("GET", "/")), eq(&("", "/search"))]);
    };
    reports_unresponsive_schedulers => {
        let service = FakeService::start(state());
        let outcome = service.run(&["backend", "list"]);
        assert_that!(outcome.stdout, contains_substring("no response from: jaylock-pool"));
    };
    // Guards against orders that don't say what they are based on, or that need a revision they have nothing to do with.
    orders_name_the_entry_that_they_are_based_on => {
        let service = FakeService::start(state_with_domains());
        for (command, domain, prior_index) in [("restore", "east", 8), ("evacuate", "north", 0)] {
            let outcome = service.run(&["domain", command, domain]);
            assert_that!(outcome.exit_code, eq(0), "{}", outcome.stderr);
            let evacuated = command == "evacuate";
            let order = v1::SetEvacuation { domain: domain.into(), evacuated, prior_index };
            assert_that!(received_orders(&service).last(), some(eq(&order)));
        }
        assert!(received_changes(&service).iter().all(|(_, revision)| revision.is_none()));
    };
    // Guards against an operator whose order is dropped because another one was faster.
    order_is_based_on_the_newest_entry_after_a_conflict => {
        let replies = vec![Reply::Applied(Applied::Conflict(4))];
        let service = FakeService::start(FakeState { replies, ..state_with_domains() });
        let outcome = service.run(&["--command-id", "c1", "domain", "evacuate", "north"]);
        assert_that!(outcome.exit_code, eq(0));
        let ids: Vec<_> = received_changes(&service).into_iter().map(|(id, _)| id).collect();
        assert_that!(ids, elements_are![eq("c1"), eq("c1~1")]);
    };
    // Guards against a misspelt name that reaches the log.
    refuses_unknown_domains => {
        let service = FakeService::start(state_with_domains());
        let outcome = service.run(&["domain", "evacuate", "west"]);
        assert_that!((outcome.exit_code, service.run(&["domain", "restore", "no/slash"]).exit_code), eq((1, 2)));
        assert_that!(outcome.stderr, contains_substring("jaylock domain list"));
        assert_that!(received_changes(&service), is_empty());
    };
    // Guards against a domain that seems empty while slots are granted, or informed while an instance lags.
    lists_who_has_the_order_and_what_still_runs => {
        let service = FakeService::start(state_with_domains());
        let outcome = service.run(&["--json", "domain", "list"]);
        let listed: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
        let expected = serde_json::json!([
            {"domain": "east", "state": "evacuated", "since": "1970-01-01T00:00:01.000Z",
             "informed": 2, "instances": 3, "running": 5, "usable": 1, "backends": 2},
            {"domain": "north", "state": "in use", "since": "",
             "informed": 3, "instances": 3, "running": 1, "usable": 1, "backends": 1},
        ]);
        assert_that!(listed["result"], eq(&expected));
        assert_that!(listed["unheard"][0].as_str(), some(eq("jaylock-pool")));
    };
    shows_the_evacuations => {
        let service = FakeService::start(state_with_domains());
        let outcome = service.run(&["--json", "config", "show"]);
        let shown: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
        let expected = serde_json::json!([
            {"domain": "east", "index": 8, "since": "1970-01-01T00:00:01.000Z", "restored": ""},
        ]);
        assert_that!(shown["evacuations"], eq(&expected));
    };
    prints_completions_without_a_fleet => {
        let outcome = run(&[UNREACHABLE], &["completions", "bash"]);
        assert_that!(outcome.exit_code, eq(0));
        assert_that!(outcome.stdout, contains_substring("organisation"));
    };
    // Guards against a success whose output, as a generated key, is lost on a full disk.
    reports_output_that_a_full_disk_refuses => {
        let full = File::options().write(true).open("/dev/full").expect("a full device");
        let command = || {
            let mut command = Command::new(program_path("jaylock"));
            command.args(["completions", "bash"]);
            command
        };
        let refused = ToolOutput::from(command().stdout(full).output().expect("an output"));
        assert_that!(refused.exit_code, eq(6));
        assert_that!(refused.stderr, starts_with("jaylock: the output can't be written"));
        let (reader, writer) = pipe().expect("a pipe");
        drop(reader);
        let closed = ToolOutput::from(command().stdout(writer).output().expect("an output"));
        assert_that!((closed.exit_code, closed.stderr.as_str()), eq((0, "")));
    };
}
