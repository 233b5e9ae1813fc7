//! Whether callers need a key, also where no organisation has one.

use googletest::prelude::*;
use jaylock_control::{KeyRequirement, key_requirement};
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Command, Document, Organisation};

use crate::commands::{command, create_organisation};
use crate::group::Group;

fn document(version: u64, key_required: Option<bool>) -> Command {
    command(Body::PutDocument(Document {
        version,
        key_required,
        ..Document::default()
    }))
}

/// Whether keys are needed after the commands, as the leader reads it.
async fn requirement(group: &Group, commands: Vec<Command>) -> KeyRequirement {
    for command in commands {
        group.propose(command).await;
    }
    key_requirement(&group.read().await)
}

jaylock_tests::cases! {
    // Guards against routes that are open to everybody once the last organisation was removed.
    async removal_of_the_last_organisation_leaves_keys_required => {
        let group = Group::new(1, 1).await;
        let commands = vec![
            create_organisation("only", None),
            command(Body::RemoveOrganisation("only".into())),
        ];
        expect_that!(requirement(&group, commands).await, eq(KeyRequirement::Required));
        expect_that!(group.read().await.organisations, is_empty());
    };

    async document_says_whether_keys_are_required => {
        let group = Group::new(1, 1).await;
        expect_that!(requirement(&group, vec![document(1, Some(true))]).await, eq(KeyRequirement::Required));
        expect_that!(requirement(&group, vec![document(2, Some(false))]).await, eq(KeyRequirement::NotRequired));
    };

    // Guards against routes that stay open although an organisation was created after a document without organisations.
    async organisation_created_after_a_document_without_keys_requires_them => {
        let group = Group::new(1, 1).await;
        let commands = vec![document(1, Some(false)), create_organisation("first", None)];
        expect_that!(requirement(&group, commands).await, eq(KeyRequirement::Required));
    };

    // Guards against routes that stay open to everybody as an earlier release recorded an empty list like an absent one.
    async document_of_an_earlier_release_without_organisations_leaves_open_whether_keys_are_required => {
        let group = Group::new(1, 1).await;
        expect_that!(requirement(&group, vec![document(1, None)]).await, eq(KeyRequirement::Unknown));
        let recorded = command(Body::RequireKeys(false));
        expect_that!(requirement(&group, vec![recorded]).await, eq(KeyRequirement::NotRequired));
        expect_that!(requirement(&group, vec![document(2, None)]).await, eq(KeyRequirement::Unknown));
    };

    // Guards against a recovered requirement that overrides a document which an operator sent meanwhile.
    async requirement_that_was_read_from_an_older_document_changes_nothing => {
        let group = Group::new(1, 1).await;
        group.propose(document(1, None)).await;
        let expected_revision = Some(group.read().await.revision);
        group.propose(document(2, Some(true))).await;
        let late = Command { expected_revision, ..command(Body::RequireKeys(false)) };
        expect_that!(requirement(&group, vec![late]).await, eq(KeyRequirement::Required));
    };

    // Guards against routes that open once the last of the organisations is removed.
    async keys_are_not_waived_while_there_are_organisations => {
        let group = Group::new(1, 1).await;
        group.propose(create_organisation("only", None)).await;
        group.propose(command(Body::RequireKeys(false))).await;
        let removal = command(Body::RemoveOrganisation("only".into()));
        expect_that!(requirement(&group, vec![removal]).await, eq(KeyRequirement::Required));
    };

    async document_of_an_earlier_release_requires_keys_where_it_has_organisations => {
        let group = Group::new(1, 1).await;
        let mut with_one = document(2, None);
        if let Some(Body::PutDocument(document)) = &mut with_one.body {
            document.organisations = vec![Organisation {
                id: "one".into(),
                weight: 1,
                ..Organisation::default()
            }];
        }
        expect_that!(requirement(&group, vec![with_one]).await, eq(KeyRequirement::Required));
    };

    async requirement_outlasts_snapshots_and_restarts => {
        let group = Group::new(1, 1).await;
        group.propose(document(1, Some(true))).await;
        // More entries than a snapshot waits for; none of them changes the organisations.
        for at in 0..80 {
            group.propose(command(Body::DrainBackend(format!("b{at}")))).await;
        }
        group.machine(0).kill();
        group.start(0).await.expect("a replica");
        expect_that!(key_requirement(&group.read().await), eq(KeyRequirement::Required));
    };
}
