//! Disks that are full, corrupt or have torn writes.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_control::{Disk, Error, FileDisk, FileName};
use jaylock_rpc::v1::control_server::Control;
use jaylock_rpc::v1::replica_server::Replica;
use jaylock_rpc::v1::{Configuration, ProposeRequest, VoteReply, VoteRequest};
use tonic::{Request, Status};

use crate::commands::create_organisation;
use crate::disk::FailingStep;
use crate::group::{Group, TIMEOUT};
use crate::nodes::{listeners, members, start};

/// Duration of a write on a slow disk, in ms.
const SLOW_WRITE_MS: u64 = 30;

async fn group_with_entries() -> Group {
    let group = Group::new(1, 1).await;
    for at in 0..20 {
        group
            .propose(create_organisation(&format!("o{at}"), Some(at)))
            .await;
    }
    group.machine(0).kill();
    group
}

async fn ask_vote(group: &Group, at: usize, request: VoteRequest) -> Result<VoteReply, Status> {
    let replica = group.machine(at).replica().expect("a replica");
    let reply = replica.replica_service().vote(Request::new(request)).await;
    reply.map(tonic::Response::into_inner)
}

/// The term of a replica: a pre-vote for term 0 is never granted.
async fn term(group: &Group, at: usize) -> u64 {
    let request = VoteRequest {
        poll: true,
        ..VoteRequest::default()
    };
    ask_vote(group, at, request).await.expect("a reply").term
}

/// Transfers leadership, and returns when the successor has voted for itself.
async fn start_transfer(group: &Group, leader: usize, successor: usize) {
    let before = term(group, successor).await;
    group
        .machine(leader)
        .replica()
        .expect("a replica")
        .step_down()
        .await;
    while term(group, successor).await == before {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

jaylock_tests::cases! {
    async removes_a_torn_write_at_the_end_of_the_log => {
        let group = group_with_entries().await;
        let disk = &group.machine(0).disk;
        disk.edit(FileName::Log, |bytes| {
            let torn = bytes[..40].to_vec();
            bytes.extend(torn);
        });
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(20));
        group.propose(create_organisation("after", Some(20))).await;
        group.machine(0).kill();
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(21));
    };

    async refuses_a_log_with_a_corrupt_middle => {
        let group = group_with_entries().await;
        group.machine(0).disk.edit(FileName::Log, |bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
        });
        let error = group.start(0).await.expect_err("a refusal");
        expect_that!(error, matches_pattern!(Error::Corrupt { .. }));
        expect_that!(error.to_string(), contains_substring("memory/log"));
        expect_that!(error.to_string(), contains_substring("move the data folder away"));
    };

    async refuses_a_corrupt_snapshot => {
        let group = group_with_entries().await;
        group.machine(0).disk.edit(FileName::Snapshot, |bytes| bytes[20] ^= 1);
        let error = group.start(0).await.expect_err("a refusal");
        expect_that!(error, matches_pattern!(Error::Corrupt { .. }));
    };

    async accepts_no_command_while_the_disk_is_full => {
        let group = Group::new(1, 1).await;
        group.propose(create_organisation("before", Some(0))).await;
        let machine = group.machine(0);
        machine.disk.is_full.set(true);
        expect_that!(group.propose_to(0, create_organisation("lost", Some(1))).await, none());
        expect_that!(group.read_from(0).await, none());
        let halted = machine.replica().expect("a replica").halt_reason();
        expect_that!(halted, some(contains_substring("free space")));
        machine.kill();
        machine.disk.is_full.set(false);
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(1));
    };

    async resumes_once_the_disk_has_space_again => {
        let group = Group::new(1, 1).await;
        group.propose(create_organisation("before", Some(0))).await;
        let machine = group.machine(0);
        machine.disk.is_full.set(true);
        expect_that!(group.propose_to(0, create_organisation("lost", Some(1))).await, none());
        machine.disk.is_full.set(false);
        group.propose(create_organisation("after", Some(1))).await;
        expect_that!(group.read().await.revision, eq(2));
        machine.kill();
        group.start(0).await.expect("a replica");
        expect_that!(group.read().await.revision, eq(2));
    };

    async loses_no_change_when_two_of_three_disks_fill_up => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("before", Some(0))).await;
        for at in [0, 1] {
            group.machine(at).disk.is_full.set(true);
        }
        for at in 0..3 {
            expect_that!(group.propose_to(at, create_organisation("lost", Some(1))).await, none());
        }
        for at in [0, 1] {
            group.machine(at).disk.is_full.set(false);
        }
        group.propose(create_organisation("after", None)).await;
        // The two replicas whose disks were full now form the majority.
        group.machine(2).kill();
        group.propose(create_organisation("last", None)).await;
        let organisations = group.read().await.organisations;
        let names: Vec<&str> = organisations.iter().map(|o| o.id.as_str()).collect();
        expect_that!(names, contains(eq(&"before")));
        expect_that!(names, contains(eq(&"after")));
        expect_that!(names, contains(eq(&"last")));
    };

    async changes_the_leader_when_its_disk_is_full => {
        let group = Group::new(3, 3).await;
        let leader = group.leader().await;
        group.machine(leader).disk.is_full.set(true);
        group.propose(create_organisation("a", Some(0))).await;
        expect_that!(group.leader().await, not(eq(leader)));
        expect_that!(group.read().await.revision, eq(1));
    };

    // Guards against a replica that leads while it is halted: it answers no change, and never retries its disk.
    async replica_that_halts_during_its_election_does_not_lead => {
        let mut group = Group::absent(3, 3);
        group.settings.reply_timeout = TIMEOUT;
        group.settings.election_timeout *= 6;
        group.settings.leader_lease *= 6;
        for at in 0..3 {
            group.add(at).await;
        }
        group.propose(create_organisation("before", None)).await;
        let leader = group.leader().await;
        let (candidate, other) = ((leader + 1) % 3, (leader + 2) % 3);
        group.machine(other).kill();
        group.propose(create_organisation("second", None)).await;
        group.machine(leader).disk.write_delay_ms.set(SLOW_WRITE_MS);
        start_transfer(&group, leader, candidate).await;
        let disk = &group.machine(candidate).disk;
        disk.fail(FileName::Vote, FailingStep::Write);
        let request = VoteRequest {
            term: 1000,
            candidate: "x".into(),
            handover: true,
            ..VoteRequest::default()
        };
        expect_that!(ask_vote(&group, candidate, request).await.is_err(), eq(true));
        disk.repair();
        group.machine(leader).disk.write_delay_ms.set(0);
        compio::time::sleep(group.settings.election_timeout).await;
        group.start(other).await.expect("a replica");
        group.propose(create_organisation("after", None)).await;
        expect_that!(group.resumes(candidate).await, eq(true));
    };

    // Guards against a replica that refuses all entries, as it has dropped committed ones that its own disk lacked.
    async leader_with_a_slow_disk_follows_after_it_steps_down => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("before", None)).await;
        let leader = group.leader().await;
        group.machine(leader).disk.write_delay_ms.set(SLOW_WRITE_MS * 10);
        for at in 0..5 {
            let change = create_organisation(&format!("a{at}"), None);
            expect_that!(group.propose_to(leader, change).await, some(anything()));
        }
        group.machine(leader).replica().expect("a replica").step_down().await;
        group.machine(leader).disk.write_delay_ms.set(0);
        let successor = group.leader().await;
        expect_that!(successor, not(eq(leader)));
        let third = (0..3).find(|at| *at != leader && *at != successor).expect("a machine");
        group.machine(third).kill();
        group.propose(create_organisation("after", None)).await;
        expect_that!(group.read().await.revision, eq(7));
    };

    // Guards against a vote for a replica that lacks committed entries, given for the remains of a log that a snapshot has replaced.
    async replica_with_an_installed_snapshot_elects_none_that_lacks_it => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("before", None)).await;
        let lagging = group.leader().await;
        let old_term = term(&group, lagging).await;
        let machine = group.machine(lagging);
        machine.is_isolated.set(true);
        let service = machine.replica().expect("a replica").control_service();
        let lost = (0..200).map(|at| {
            let command = Some(create_organisation(&format!("lost{at}"), None));
            service.propose(Request::new(ProposeRequest { command }))
        });
        futures_util::future::join_all(lost).await;
        machine.kill();
        machine.is_isolated.set(false);
        for at in 0..60 {
            group.propose(create_organisation(&format!("kept{at}"), None)).await;
        }
        // As the installation leaves the disk that fails between the snapshot and the log.
        let snapshot = group.machine((lagging + 1) % 3).disk.content(FileName::Snapshot);
        machine.disk.edit(FileName::Snapshot, |bytes| *bytes = snapshot);
        machine.is_isolated.set(true);
        group.start(lagging).await.expect("a replica");
        compio::time::sleep(group.settings.election_timeout * 2).await;
        let request = VoteRequest {
            term: 1000,
            candidate: "x".into(),
            last_index: 1000,
            last_term: old_term,
            poll: true,
            ..VoteRequest::default()
        };
        let reply = ask_vote(&group, lagging, request).await.expect("a reply");
        expect_that!(reply.granted, eq(false));
    };

    // Guards against a process that ends as its disk fails when it starts.
    async replica_resumes_whose_disk_fails_at_its_start => {
        let group = Group::new(3, 3).await;
        group.propose(create_organisation("before", None)).await;
        let leader = group.leader().await;
        for file in FileName::ALL {
            let machine = group.machine(leader);
            machine.kill();
            machine.disk.fail(file, FailingStep::Open);
            group.start(leader).await.expect("a replica");
            expect_that!(machine.replica().expect("a replica").halt_reason(), some(anything()));
            group.propose(create_organisation(&format!("{file}"), None)).await;
            machine.disk.repair();
            expect_that!(group.resumes(leader).await, eq(true));
        }
        expect_that!(group.read().await.revision, eq(4));
    };

    async replica_resumes_that_can_not_remove_a_torn_write_at_its_start => {
        let group = group_with_entries().await;
        let disk = &group.machine(0).disk;
        disk.edit(FileName::Log, |bytes| {
            let torn = bytes[..40].to_vec();
            bytes.extend(torn);
        });
        disk.is_full.set(true);
        group.start(0).await.expect("a replica");
        disk.repair();
        expect_that!(group.resumes(0).await, eq(true));
        expect_that!(group.read().await.revision, eq(20));
    };

    async group_forms_while_one_disk_is_full_at_the_first_start => {
        for at in 0..3 {
            let group = Group::absent(3, 3);
            group.machine(at).disk.is_full.set(true);
            for machine in 0..3 {
                group.add(machine).await;
            }
            group.propose(create_organisation("before", None)).await;
            group.machine(at).disk.repair();
            let name = format!("r{at}");
            let votes = |c: &Configuration| c.members.iter().any(|m| m.instance == name && m.voter && m.generation > 1);
            group.wait_until("the last replica votes", votes).await;
            group.machine((at + 1) % 3).kill();
            group.propose(create_organisation("after", None)).await;
        }
    };

    async replica_resumes_whose_data_folder_can_not_be_created_at_its_start => {
        let folder = tempfile::tempdir().expect("a folder");
        let blocked = folder.path().join("data");
        std::fs::write(&blocked, "a file in place of the folder").expect("a file");
        let listener = listeners(1).await.remove(0);
        let member = members(std::slice::from_ref(&listener)).remove(0);
        let node = start(listener, member.clone(), &[member], &blocked).await;
        expect_that!(node.replica.halt_reason(), some(anything()));
        std::fs::remove_file(&blocked).expect("no file");
        let started = Instant::now();
        while !node.replica.is_leader() {
            assert!(started.elapsed() < TIMEOUT, "the replica doesn't resume");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    };

    async failed_replacement_leaves_no_temporary_file => {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("log.new"), "a process ended here").expect("a file");
        let disk = FileDisk::open(folder.path()).await.expect("a disk");
        // A file can't replace a folder.
        std::fs::create_dir(folder.path().join("snapshot")).expect("a folder");
        let outcome = disk.replace(FileName::Snapshot, vec![1; 9]).await;
        expect_that!(outcome.is_err(), eq(true));
        let files = std::fs::read_dir(folder.path()).expect("files");
        let names = files.map(|f| f.expect("a file").file_name().into_string().expect("text"));
        expect_that!(names.collect::<Vec<_>>(), unordered_elements_are![eq("lock"), eq("snapshot")]);
    };

    // Guards against a confirmed change that is gone after a power loss, as a process ended between write and sync.
    async change_that_a_restarted_replica_confirms_outlives_a_power_loss => {
        for _ in 0..3 {
            let mut group = Group::absent(3, 3);
            group.settings.election_timeout *= 3;
            group.settings.leader_lease *= 3;
            for at in 0..3 {
                group.add(at).await;
            }
            group.propose(create_organisation("before", None)).await;
            let leader = group.leader().await;
            let (restarted, third) = ((leader + 1) % 3, (leader + 2) % 3);
            group.machine(third).kill();
            let machine = group.machine(restarted);
            machine.disk.write_delay_ms.set(SLOW_WRITE_MS);
            machine.disk.ends_before_sync.set(true);
            let restart = async {
                compio::time::sleep(Duration::from_millis(SLOW_WRITE_MS / 2)).await;
                machine.kill();
                compio::time::sleep(Duration::from_millis(SLOW_WRITE_MS * 2)).await;
                machine.disk.write_delay_ms.set(0);
                group.start(restarted).await.expect("a replica");
            };
            futures_util::join!(group.propose(create_organisation("a", None)), restart);
            group.machine(leader).kill();
            machine.kill();
            machine.disk.lose_power();
            for at in [restarted, third] {
                group.start(at).await.expect("a replica");
            }
            expect_that!(group.read().await.revision, eq(2));
        }
    };
}
