//! Links between single machines that are cut.

use std::time::Duration;

use compio::time::timeout;
use googletest::prelude::*;

use crate::commands::create_organisation;
use crate::group::Group;

const REPLICAS: usize = 5;
/// Time in which an entry reaches the only machine that the leader has a link to.
const TRANSFER_TIME: Duration = Duration::from_millis(25);

jaylock_tests::cases! {
    // Guards against a candidate that can't win but binds a voter again and again, so that nobody else wins either.
    async candidate_that_lacks_links_to_most_voters_keeps_no_other_from_leading => {
        let mut group = Group::absent(REPLICAS, REPLICAS);
        group.settings.replace_after = Duration::from_mins(10);
        for at in 0..REPLICAS {
            group.add(at).await;
        }
        group.propose(create_organisation("before", None)).await;
        let leader = group.leader().await;
        let others: Vec<usize> = (0..REPLICAS).filter(|at| *at != leader).collect();
        let [lost, candidate, second, third] = others[..] else {
            unreachable!("five machines")
        };
        group.machine(lost).kill();
        // The successor is the one with the newest entry.
        group.machine(leader).cut_from(&[second, third]);
        let change = group.propose_to(leader, create_organisation("newest", None));
        let _ = timeout(TRANSFER_TIME, change).await;
        group.machine(candidate).cut_from(&[second, third]);
        group.machine(leader).replica().expect("a replica").step_down().await;
        group.machine(leader).cut_from(&[]);
        group.propose(create_organisation("after", None)).await;
        expect_that!(group.leader().await, not(eq(candidate)));
    };
}
