//! Whether callers need a key, also where no organisation has one.

use googletest::prelude::*;
use jaylock_control::is_key_required;
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
async fn requires_keys(group: &Group, commands: Vec<Command>) -> bool {
    for command in commands {
        group.propose(command).await;
    }
    is_key_required(&group.read().await)
}

jaylock_tests::cases! {
    // Guards against routes that are open to everybody once the last organisation was removed.
    async removal_of_the_last_organisation_leaves_keys_required => {
        let group = Group::new(1, 1).await;
        let commands = vec![
            create_organisation("only", None),
            command(Body::RemoveOrganisation("only".into())),
        ];
        expect_that!(requires_keys(&group, commands).await, eq(true));
        expect_that!(group.read().await.organisations, is_empty());
    };

    async document_says_whether_keys_are_required => {
        let group = Group::new(1, 1).await;
        expect_that!(requires_keys(&group, vec![document(1, Some(true))]).await, eq(true));
        expect_that!(requires_keys(&group, vec![document(2, Some(false))]).await, eq(false));
    };

    // Guards against routes that stay open although an organisation was created after a document without organisations.
    async organisation_created_after_a_document_without_keys_requires_them => {
        let group = Group::new(1, 1).await;
        let commands = vec![document(1, Some(false)), create_organisation("first", None)];
        expect_that!(requires_keys(&group, commands).await, eq(true));
    };

    async document_of_an_earlier_release_requires_keys_where_it_has_organisations => {
        let group = Group::new(1, 1).await;
        expect_that!(requires_keys(&group, vec![document(1, None)]).await, eq(false));
        let mut with_one = document(2, None);
        if let Some(Body::PutDocument(document)) = &mut with_one.body {
            document.organisations = vec![Organisation {
                id: "one".into(),
                weight: 1,
                ..Organisation::default()
            }];
        }
        expect_that!(requires_keys(&group, vec![with_one]).await, eq(true));
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
        expect_that!(is_key_required(&group.read().await), eq(true));
    };
}
