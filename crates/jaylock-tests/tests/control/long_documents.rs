//! Documents with as many entries as fit into their size, and what is spared when one is sent again.

use std::fmt::Write;
use std::time::Duration;

use googletest::prelude::*;
use jaylock_platform::decode_document;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::{
    Applied, Command, Document, Drain, Organisation, ProposeRequest, Route, Service, Target,
};
use tonic::Request;

use crate::commands::{command, create_organisation};
use crate::group::Group;

/// Organisations of a document with many keys.
const ORGANISATIONS: usize = 16;
/// Keys that fill a document of the largest size.
const MAX_KEYS: usize = 176_000;
/// Services, and routes to them, of a document with many.
const SERVICES: usize = 60_000;
/// Largest document that an instance reads.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// A document as an operator writes it, with so many keys of 20 characters.
fn text_with_keys(version: u64, count: usize) -> String {
    let mut text = format!(
        r#"{{"version":{version},"services":[{{"name":"s"}}],"routes":[{{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":1,"service":"s"}}],"tenants":["#
    );
    for organisation in 0..ORGANISATIONS {
        let keys = (organisation..count).step_by(ORGANISATIONS);
        let keys: Vec<String> = keys.map(|key| format!("\"{key:020}\"")).collect();
        let comma = if organisation > 0 { "," } else { "" };
        let list = keys.join(",");
        write!(
            text,
            r#"{comma}{{"name":"o{organisation:02}","api_keys":[{list}]}}"#
        )
        .expect("a text grows");
    }
    text.push_str("]}");
    text
}

fn put(document: Document) -> Command {
    command(Body::PutDocument(document))
}

fn with_keys(version: u64, count: usize) -> Document {
    decode_document(text_with_keys(version, count).as_bytes()).expect("a valid document")
}

fn with_services(version: u64, count: usize) -> Document {
    let service = |at: usize| Service {
        id: format!("s{at:05}"),
        ..Service::default()
    };
    let route = |at: usize| Route {
        id: format!("r{at:05}"),
        host: "h".into(),
        prefix: format!("/p{at:05}/"),
        timeout_ms: 1000,
        targets: vec![Target {
            // The last services are looked for first.
            service: format!("s{:05}", count - 1 - at),
            weight: 1,
        }],
        ..Route::default()
    };
    Document {
        version,
        services: (0..count).map(service).collect(),
        routes: (0..count).map(route).collect(),
        ..Document::default()
    }
}

/// A group on one thread whose times bear what unoptimised code takes for a large document.
async fn patient_group() -> Group {
    let mut group = Group::absent(3, 3);
    group.settings.reply_timeout = Duration::from_secs(4);
    group.settings.election_timeout = Duration::from_secs(6);
    group.settings.leader_lease = Duration::from_secs(5);
    for at in 0..3 {
        group.add(at).await;
    }
    group.leader().await;
    group
}

fn is_done(applied: &Applied) -> bool {
    matches!(applied.result, Some(Outcome::Done(_)))
}

fn refusal(applied: Applied) -> String {
    match applied.result {
        Some(Outcome::Refused(reason)) => reason,
        other => panic!("not refused: {other:?}"),
    }
}

/// Index of an entry that is made now and changes nothing.
async fn next_index(group: &Group) -> u64 {
    let late = create_organisation("late", Some(u64::MAX));
    let late = Command {
        expected_revision: late.expected_revision,
        ..command(late.body.expect("a change"))
    };
    group.propose(late).await.index
}

/// A group whose leader stays for a while after its lease has lapsed, and the leader.
async fn lasting_group() -> (Group, usize) {
    let mut group = Group::absent(3, 3);
    group.settings.election_timeout = Duration::from_secs(2);
    group.settings.leader_lease = Duration::from_millis(200);
    for at in 0..3 {
        group.add(at).await;
    }
    group.propose(create_organisation("before", None)).await;
    let leader = group.leader().await;
    (group, leader)
}

jaylock_tests::cases! {
    // Guards against a leader without time for heartbeats that turns a large document away, so that each replica in turn begins anew with it.
    async leader_whose_lease_has_lapsed_commits_a_large_document_once_it_holds_it_again => {
        let (group, leader) = lasting_group().await;
        let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
        group.machine(leader).cut_from(&others);
        compio::time::sleep(group.settings.leader_lease * 2).await;
        let change = group.propose_to(leader, put(with_keys(1, 20_000)));
        let reconnection = async {
            compio::time::sleep(group.settings.leader_lease).await;
            group.machine(leader).cut_from(&[]);
        };
        let (applied, ()) = futures_util::join!(change, reconnection);
        let result = applied.and_then(|applied| applied.result);
        expect_that!(result, some(matches_pattern!(Outcome::Done(_))));
    };

    // Guards against replicas that all check a large document for seconds before one of them says that another leads.
    async replica_that_does_not_lead_passes_a_large_document_on_unchecked => {
        let (group, leader) = lasting_group().await;
        let mut document = with_keys(1, 20_000);
        let shared = document.organisations[0].key_hashes[0].clone();
        document.organisations[1].key_hashes.push(shared);
        let service = group.machine((leader + 1) % 3).replica().expect("a replica").control_service();
        // It may not have heard of its leader yet.
        let mut leader_address = String::new();
        while leader_address.is_empty() {
            let request = ProposeRequest { command: Some(put(document.clone())) };
            let reply = service.propose(Request::new(request)).await.expect("a reply").into_inner();
            assert_that!(reply.applied, none());
            leader_address = reply.leader_address.unwrap_or_default();
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };

    // Guards against a check of keys that compares each with each other one, so that control stands still for minutes.
    async commits_a_document_filled_with_keys => {
        let text_bytes = text_with_keys(1, MAX_KEYS).len();
        assert_that!(text_bytes, all![gt(4_000_000), le(MAX_DOCUMENT_BYTES)]);
        let group = patient_group().await;
        assert_that!(is_done(&group.propose(put(with_keys(1, MAX_KEYS))).await), eq(true));
        let configuration = group.read().await;
        let keys: usize = configuration.organisations.iter().map(|o| o.key_hashes.len()).sum();
        expect_that!(keys, eq(MAX_KEYS));
    };

    // Guards against a search through all services for each target of each route.
    async commits_a_document_with_many_routes_and_services => {
        let group = patient_group().await;
        let document = with_services(1, SERVICES);
        assert_that!(is_done(&group.propose(put(document)).await), eq(true));
        expect_that!(group.read().await.routes.len(), eq(SERVICES));
    };

    // Guards against a document that is written and replicated again, whole, each time that it is sent again.
    async document_in_force_is_acknowledged_without_an_entry => {
        let group = patient_group().await;
        let document = with_keys(7, 1000);
        let first = put(document.clone());
        assert_that!(is_done(&group.propose(first.clone()).await), eq(true));
        let before = next_index(&group).await;
        let older = with_keys(3, 1000);
        for command in [first, put(document), put(older)] {
            expect_that!(is_done(&group.propose(command).await), eq(true));
        }
        expect_that!(next_index(&group).await, eq(before + 1));
        expect_that!(group.read().await.document_version, eq(7));
    };

    async invalid_document_is_refused_whatever_its_version => {
        let group = patient_group().await;
        assert_that!(is_done(&group.propose(put(with_keys(7, 100))).await), eq(true));
        for version in [3, 7, 9] {
            let valid = Document { source: b"another text".to_vec().into(), ..with_keys(version, 100) };
            let mut unknown_service = valid.clone();
            unknown_service.routes[0].targets[0].service = "other".into();
            expect_that!(refusal(group.propose(put(unknown_service)).await), contains_substring("no service other"));
            let mut short_hash = valid;
            short_hash.organisations[3].key_hashes[0] = vec![1; 31].into();
            expect_that!(refusal(group.propose(put(short_hash)).await), contains_substring("32 bytes"));
        }
        expect_that!(group.read().await.document_version, eq(7));
    };

    // Guards against a change that is refused halfway and leaves the configuration changed, as none is copied before.
    async refused_change_changes_nothing => {
        let group = patient_group().await;
        assert_that!(is_done(&group.propose(put(with_keys(1, 100))).await), eq(true));
        let drain = Drain { backend: "i-1".into() };
        assert_that!(is_done(&group.propose(command(Body::DrainBackend(drain.backend))).await), eq(true));
        let before = group.read().await;
        let taken_key = before.organisations[1].key_hashes[0].clone();
        let with_taken_key = Organisation {
            id: "new".into(),
            weight: 1,
            key_hashes: vec![taken_key],
            ..Organisation::default()
        };
        let taken_prefix = Route {
            id: "other".into(),
            targets: vec![Target { service: "s".into(), weight: 1 }],
            ..before.routes[0].clone()
        };
        let weightless = Organisation { weight: 0, ..with_taken_key.clone() };
        let refused = [
            Body::PutOrganisation(with_taken_key),
            Body::PutOrganisation(weightless),
            Body::RemoveOrganisation("none".into()),
            Body::PutRoute(taken_prefix),
            Body::RemoveRoute("none".into()),
            Body::RemoveService("none".into()),
            Body::UndrainBackend("none".into()),
            Body::RequireKeys(false),
            Body::PutDocument(Document { version: 2, routes: before.routes.clone(), ..Document::default() }),
        ];
        for body in refused {
            refusal(group.propose(command(body)).await);
        }
        let conflict = group.propose(create_organisation("late", Some(before.revision + 5))).await;
        expect_that!(matches!(conflict.result, Some(Outcome::Conflict(_))), eq(true));
        let after = group.read().await;
        expect_that!(after == before, eq(true), "{:?}", (after.index, before.index));
    };
}
