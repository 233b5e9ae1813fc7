//! Documents of which each is within its limits, but not all that the log would hold of them together.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use googletest::prelude::*;
use jaylock_control::FileName;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::{
    Applied, Command, Configuration, Document, Organisation, ProposeRequest, ReadRequest,
    WatchReply, WatchRequest,
};
use prost::Message;
use tonic::{Code, Request, Status};

use crate::commands::command;
use crate::group::{Group, TIMEOUT};

/// Size of the source of one document.
const DOCUMENT_BYTES: usize = 200 << 10;
/// Most that the log may hold: what is retained, what triggers a snapshot, what waits, and one document.
const MAX_LOG_BYTES: usize = (4 << 20) + (8 << 20) + (4 << 20) + DOCUMENT_BYTES;
/// Number of documents that together exceed that.
const DOCUMENT_COUNT: u64 = 120;

fn document(version: u64) -> Command {
    document_of(version, DOCUMENT_BYTES)
}

fn document_of(version: u64, bytes: usize) -> Command {
    let source = vec![b'd'; bytes].into();
    command(Body::PutDocument(Document {
        version,
        source,
        ..Document::default()
    }))
}

fn is_done(applied: &Applied) -> bool {
    matches!(applied.result, Some(Outcome::Done(_)))
}

async fn put_documents(group: &Group, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        assert_that!(is_done(&group.propose(document(version)).await), eq(true));
    }
}

/// A group with the limits of the default settings.
async fn default_group(size: usize, replicas: usize) -> Group {
    let mut group = Group::absent(size, replicas);
    let defaults = jaylock_control::ReplicaSettings::default();
    group.settings.snapshot_entries = defaults.snapshot_entries;
    group.settings.retained_entries = defaults.retained_entries;
    for at in 0..size {
        group.add(at).await;
    }
    group
}

/// Sends a command to the replica of a machine itself.
async fn propose(group: &Group, at: usize, command: Command) -> Result<Applied, Status> {
    let service = group
        .machine(at)
        .replica()
        .expect("a replica")
        .control_service();
    let request = ProposeRequest {
        command: Some(command),
    };
    let reply = service.propose(Request::new(request)).await?.into_inner();
    reply
        .applied
        .ok_or_else(|| Status::unavailable("another replica leads"))
}

/// A document without source whose organisations take some 90 KB.
fn document_of_organisations(version: u64) -> Command {
    let organisation = |at: u16| Organisation {
        id: format!("organisation-{at}"),
        weight: 1,
        key_hashes: vec![[at.to_be_bytes(); 16].concat().into()],
        ..Organisation::default()
    };
    let organisations = (0..1600).map(organisation).collect();
    command(Body::PutDocument(Document {
        version,
        organisations,
        ..Document::default()
    }))
}

/// The first reply to a watcher with the configuration of an index.
async fn watch_from(group: &Group, index: u64) -> WatchReply {
    let at = group.leader().await;
    let service = group
        .machine(at)
        .replica()
        .expect("a replica")
        .control_service();
    let request = Request::new(WatchRequest {
        index,
        whole: false,
    });
    let mut replies = service.watch(request).await.expect("a watch").into_inner();
    replies.next().await.expect("a reply").expect("no error")
}

fn log_sizes(group: &Group) -> Vec<usize> {
    group
        .machines()
        .iter()
        .map(|m| m.disk.size(FileName::Log))
        .collect()
}

jaylock_tests::cases! {
    // Guards against a log that is bounded by its number of entries alone, so that large documents end the process by its memory.
    async log_of_large_documents_stays_within_its_bytes => {
        let group = default_group(3, 3).await;
        put_documents(&group, 1..=DOCUMENT_COUNT).await;
        for (at, size) in log_sizes(&group).into_iter().enumerate() {
            expect_that!(size, le(MAX_LOG_BYTES), "on machine {}", at);
        }
        for machine in group.machines() {
            machine.kill();
        }
        for at in 0..3 {
            group.start(at).await.expect("a replica");
        }
        expect_that!(group.read().await.document_version, eq(DOCUMENT_COUNT));
    };

    // Guards against a log that is already too long, which ended each new process by its memory too.
    async starts_from_a_log_that_exceeds_its_bound_and_shortens_it => {
        let mut group = default_group(3, 3).await;
        let bounded = group.settings.clone();
        group.settings.snapshot_bytes = u64::MAX / 2;
        for at in 0..3 {
            group.machine(at).kill();
            group.start(at).await.expect("a replica");
        }
        put_documents(&group, 1..=DOCUMENT_COUNT).await;
        assert_that!(log_sizes(&group), each(gt(&MAX_LOG_BYTES)));
        group.settings = bounded;
        for at in 0..3 {
            group.machine(at).kill();
            group.machine(at).disk.largest_read.set(0);
            group.start(at).await.expect("a replica");
            expect_that!(group.machine(at).disk.largest_read.get(), le(1 << 20));
        }
        expect_that!(group.read().await.document_version, eq(DOCUMENT_COUNT));
        let started = Instant::now();
        while log_sizes(&group).into_iter().any(|size| size > MAX_LOG_BYTES) {
            assert_that!(started.elapsed(), lt(TIMEOUT), "the log was not shortened");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };

    // Guards against a leader that takes documents faster than its disk until its memory ends.
    async refuses_documents_while_too_many_wait_for_the_disk => {
        let group = default_group(1, 1).await;
        put_documents(&group, 1..=1).await;
        let at = group.leader().await;
        group.machine(at).disk.write_delay_ms.set(300);
        let proposals = (2..=60).map(|version| propose(&group, at, document(version)));
        let outcomes = futures_util::future::join_all(proposals).await;
        let refused: Vec<Code> = outcomes.iter().filter_map(|o| o.as_ref().err()).map(Status::code).collect();
        expect_that!(refused, not(is_empty()));
        expect_that!(refused, each(eq(&Code::ResourceExhausted)));
        expect_that!((60 - refused.len()) * DOCUMENT_BYTES, le((2 << 20) + 2 * DOCUMENT_BYTES));
        group.machine(at).disk.write_delay_ms.set(0);
        put_documents(&group, 61..=61).await;
        expect_that!(group.read().await.document_version, eq(61));
    };

    async sends_the_whole_configuration_to_a_watcher_whose_changes_take_too_many_bytes => {
        let group = default_group(1, 1).await;
        let mut indexes = Vec::new();
        for version in 1..=12 {
            let applied = group.propose(document_of_organisations(version)).await;
            assert_that!(is_done(&applied), eq(true));
            indexes.push(applied.index);
        }
        let behind = watch_from(&group, indexes[0]).await;
        expect_that!(behind.changes, is_empty());
        let whole = Configuration::decode(behind.whole.expect("a configuration"));
        expect_that!(whole.expect("a configuration").document_version, eq(12));
        let near = watch_from(&group, indexes[9]).await;
        expect_that!(near.whole, none());
        expect_that!(near.changes, len(eq(2)));
    };

    // Guards against a replica that encodes megabytes for each of hundreds of watchers and readers anew, on the thread of its heartbeats.
    async watchers_and_readers_share_one_encoding_of_a_large_configuration => {
        let group = default_group(1, 1).await;
        put_documents(&group, 1..=1).await;
        group.propose(document_of_organisations(2)).await;
        let first = watch_from(&group, 0).await.whole.expect("a configuration");
        let second = watch_from(&group, 0).await.whole.expect("a configuration");
        let service = group.machine(0).replica().expect("a replica").control_service();
        let read = service.read(Request::new(ReadRequest {})).await.expect("a reply").into_inner();
        expect_that!(second.as_ptr(), eq(first.as_ptr()));
        expect_that!(read.configuration.expect("a configuration").as_ptr(), eq(first.as_ptr()));
        group.propose(document_of_organisations(3)).await;
        let newer = watch_from(&group, 0).await.whole.expect("a configuration");
        expect_that!(Configuration::decode(newer).expect("a configuration").document_version, eq(3));
    };

    async brings_a_replica_up_to_date_while_documents_go_on => {
        let group = default_group(3, 3).await;
        put_documents(&group, 1..=1).await;
        let leader = group.leader().await;
        let (lagging, other) = ((leader + 1) % 3, (leader + 2) % 3);
        group.machine(lagging).kill();
        put_documents(&group, 2..=DOCUMENT_COUNT).await;
        group.start(lagging).await.expect("a replica");
        put_documents(&group, DOCUMENT_COUNT + 1..=DOCUMENT_COUNT + 30).await;
        expect_that!(log_sizes(&group), each(le(&MAX_LOG_BYTES)));
        // The replica that was behind is needed for the majority now.
        group.machine(other).kill();
        put_documents(&group, DOCUMENT_COUNT + 31..=DOCUMENT_COUNT + 31).await;
        expect_that!(group.read().await.document_version, eq(DOCUMENT_COUNT + 31));
    };

    async replicates_the_largest_document_and_refuses_a_larger_one => {
        let mut group = Group::absent(3, 3);
        // Unoptimised code needs a part of a second for a document of this size.
        group.settings.reply_timeout = Duration::from_secs(2);
        group.settings.election_timeout = Duration::from_secs(3);
        group.settings.leader_lease = Duration::from_secs(2);
        for at in 0..3 {
            group.add(at).await;
        }
        let largest = document_of(1, (32 << 20) - 128);
        expect_that!(is_done(&group.propose(largest).await), eq(true));
        let at = group.leader().await;
        let refusal = propose(&group, at, document_of(2, 32 << 20)).await.expect_err("a refusal");
        expect_that!(refusal.code(), eq(Code::InvalidArgument));
        expect_that!(refusal.message(), contains_substring("send less at once"));
        expect_that!(group.read().await.document_version, eq(1));
    };
}
