//! Overloaded routers that ask to send their callers to others.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_rpc::v1::{Instance, RenewRequest};

use crate::group::{Group, TIMEOUT};

/// Time after which a withdrawal that was not asked for again has ended.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(2600);

/// Time after which a router without a renewal may be lost.
const SILENCE: Duration = Duration::from_millis(1600);

/// Longer than a test.
const INSTANCE_LEASE: Duration = Duration::from_mins(10);

/// A group of one replica and the routers of a fleet.
struct Fleet {
    group: Group,
    routers: Vec<Instance>,
}

impl Fleet {
    /// Registers so many routers in each failure domain, and waits until a new leader allows withdrawals.
    async fn new(domains: &[usize]) -> Self {
        let mut group = Group::absent(1, 1);
        group.settings.instance_lease = INSTANCE_LEASE;
        group.add(0).await;
        wait_for_leader(&group).await;
        let mut routers = Vec::new();
        for (domain, count) in domains.iter().enumerate() {
            routers.extend((0..*count).map(|at| router(domain, at)));
        }
        let fleet = Self { group, routers };
        fleet.renew_all().await;
        compio::time::sleep(WITHDRAWAL_TIMEOUT).await;
        fleet.renew_all().await;
        fleet
    }

    /// Renews the leases of all routers, none of which is overloaded.
    async fn renew_all(&self) {
        for at in 0..self.routers.len() {
            self.asks(at, false).await;
        }
    }

    /// Restarts the leader.
    async fn restart_leader(&self) {
        self.group.machine(0).kill();
        self.group.start(0).await.expect("a replica");
        wait_for_leader(&self.group).await;
    }

    /// Renews the lease of a router; returns whether it may send its callers to others.
    async fn asks(&self, at: usize, overloaded: bool) -> bool {
        let request = RenewRequest {
            instance: Some(self.routers[at].clone()),
            overloaded,
            ..RenewRequest::default()
        };
        let reply = self.group.renew_with(0, request).await;
        reply.expect("a renewal").withdrawal_ms > 0
    }

    /// Number of routers that may withdraw when all ask.
    async fn count_allowed(&self) -> usize {
        let mut count = 0;
        for at in 0..self.routers.len() {
            count += usize::from(self.asks(at, true).await);
        }
        count
    }
}

/// Waits until the leader has committed the first entry of its term, before which it refuses renewals.
async fn wait_for_leader(group: &Group) {
    let leader = group.leader().await;
    let started = Instant::now();
    while group.read_from(leader).await.is_none() {
        assert!(
            started.elapsed() < TIMEOUT,
            "the leader serves no reads within {TIMEOUT:?}"
        );
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn router(domain: usize, at: usize) -> Instance {
    Instance {
        id: format!("d{domain}-{at}"),
        incarnation: 1,
        domain: format!("d{domain}"),
        caller_address: format!("10.0.{domain}.{at}:80"),
        ..Instance::default()
    }
}

jaylock_tests::cases! {
    async all_overloaded_routers_withdraw_until_none_is_left => {
        let fleet = Fleet::new(&[50, 50, 50, 50]).await;
        expect_that!(fleet.count_allowed().await, eq(25));
        // Those that may withdraw go on to do so, and no others do.
        expect_that!(fleet.count_allowed().await, eq(25));
    };

    async last_router_of_a_failure_domain_withdraws => {
        let fleet = Fleet::new(&[1, 16]).await;
        expect_that!(fleet.asks(0, true).await, eq(false));
        let alone = Fleet::new(&[1]).await;
        expect_that!(alone.asks(0, true).await, eq(false));
        let pair = Fleet::new(&[2]).await;
        expect_that!(pair.count_allowed().await, eq(1));
    };

    async last_router_of_a_failure_domain_withdraws_beside_one_that_was_killed => {
        let fleet = Fleet::new(&[2, 16]).await;
        compio::time::sleep(SILENCE).await;
        for at in 2..fleet.routers.len() {
            fleet.asks(at, false).await;
        }
        expect_that!(fleet.asks(0, true).await, eq(false));
        fleet.asks(1, false).await;
        expect_that!(fleet.asks(0, true).await, eq(true));
    };

    async instance_without_callers_withdraws_in_place_of_a_router => {
        let mut fleet = Fleet::new(&[4, 4]).await;
        let scheduler = Instance { id: "s".into(), caller_address: String::new(), ..router(0, 0) };
        fleet.routers.push(scheduler);
        expect_that!(fleet.asks(8, true).await, eq(false));
        expect_that!(fleet.asks(0, true).await, eq(true));
    };

    async router_that_is_no_longer_overloaded_keeps_others_from_withdrawing => {
        let fleet = Fleet::new(&[4, 4]).await;
        expect_that!(fleet.asks(0, true).await, eq(true));
        expect_that!(fleet.asks(4, true).await, eq(false));
        expect_that!(fleet.asks(0, false).await, eq(false));
        expect_that!(fleet.asks(4, true).await, eq(true));
    };

    async router_that_is_lost_keeps_others_from_withdrawing => {
        let fleet = Fleet::new(&[4, 4]).await;
        expect_that!(fleet.asks(0, true).await, eq(true));
        compio::time::sleep(WITHDRAWAL_TIMEOUT).await;
        for at in 1..fleet.routers.len() {
            fleet.asks(at, false).await;
        }
        expect_that!(fleet.asks(4, true).await, eq(true));
    };

    async restarted_leader_keeps_a_router_from_withdrawing => {
        let fleet = Fleet::new(&[4, 4]).await;
        expect_that!(fleet.asks(0, true).await, eq(true));
        fleet.restart_leader().await;
        compio::time::sleep(WITHDRAWAL_TIMEOUT).await;
        fleet.renew_all().await;
        expect_that!(fleet.asks(0, true).await, eq(true));
        expect_that!(fleet.asks(4, true).await, eq(false));
    };

    async new_leader_empties_a_failure_domain_beside_what_the_earlier_one_allowed => {
        let fleet = Fleet::new(&[2]).await;
        expect_that!(fleet.asks(0, true).await, eq(true));
        fleet.restart_leader().await;
        expect_that!(fleet.asks(1, true).await, eq(false));
    };
}
