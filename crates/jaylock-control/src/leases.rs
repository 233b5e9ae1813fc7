use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Configuration, Instance, InstanceGone, InstanceLag, PoolLease};
use jaylock_rpc::v1::{RenewReply, RenewRequest};
use jaylock_types::millis;
use tonic::Status;

use crate::replica::{RequestError, Shared};
use crate::state::find_instance;
use crate::withdrawals::{WITHDRAWAL_TIME, Withdrawals};

/// Time since its last renewal, which followers send once a second, for which an instance counts as able to serve the
/// callers of one that withdraws.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1500);

/// The leases of instances, which only the leader tracks, in memory.
///
/// A new leader counts every known instance as renewed when its term begins, so that no instance is
/// removed before a lease granted by an earlier leader has ended.
#[derive(Debug, Default)]
pub struct Leases {
    /// Sorted by instance.
    renewals: Vec<Renewal>,
    /// Pools without a scheduler, sorted.
    unserved_pools: Vec<CompactString>,
    withdrawals: Withdrawals,
    /// Instance whose lease or pool a change takes away that is not applied yet.
    ///
    /// A renewal meanwhile would hold under a configuration without that change, beside the next holder of its pool.
    losing: Option<CompactString>,
}

/// A change that the leader makes as leases have ended.
struct LeaseChange {
    body: Body,
    /// Instance that loses its lease or a pool by the change.
    losing: Option<CompactString>,
}

#[derive(Debug)]
struct Renewal {
    instance: CompactString,
    incarnation: u64,
    renewed_at: Instant,
    revision: u64,
    index: u64,
}

impl Leases {
    /// Removes the state of an earlier term as leader.
    pub fn reset(&mut self, now: Instant) {
        self.renewals.clear();
        self.unserved_pools.clear();
        self.withdrawals.reset(now);
        self.losing = None;
    }

    /// The active configuration of each instance.
    pub fn lag(&self) -> Vec<InstanceLag> {
        let lag = |renewal: &Renewal| InstanceLag {
            instance: renewal.instance.clone().into(),
            revision: renewal.revision,
            index: renewal.index,
        };
        self.renewals.iter().map(lag).collect()
    }

    /// Whether an instance renewed its lease within `max_age`.
    pub fn is_live(&self, instance: &str, now: Instant, max_age: Duration) -> bool {
        let renewal = self
            .position(instance)
            .ok()
            .map(|index| &self.renewals[index]);
        renewal.is_some_and(|r| now.duration_since(r.renewed_at) < max_age)
    }

    fn renew(&mut self, request: &RenewRequest, instance: &Instance, now: Instant) {
        let renewal = Renewal {
            instance: instance.id.as_str().into(),
            incarnation: instance.incarnation,
            renewed_at: now,
            revision: request.revision,
            index: request.index,
        };
        match self.position(&instance.id) {
            Ok(index) => self.renewals[index] = renewal,
            Err(index) => self.renewals.insert(index, renewal),
        }
        for pool in &request.pools {
            let pool = CompactString::from(pool);
            if let Err(index) = self.unserved_pools.binary_search(&pool) {
                self.unserved_pools.insert(index, pool);
            }
        }
    }

    /// Time for which an instance may send its callers to others, if it asks for that; zero if it may not.
    fn withdraw(
        &mut self,
        request: &RenewRequest,
        configuration: &Configuration,
        id: &str,
        now: Instant,
    ) -> Duration {
        if !request.overloaded {
            self.withdrawals.end(id);
            return Duration::ZERO;
        }
        let serves = |i: &&Instance| !i.leaving && !i.caller_address.is_empty();
        let instances = configuration.instances.iter().filter(serves);
        let serving: Vec<&Instance> = instances.filter(|i| !self.is_silent(&i.id, now)).collect();
        let is_allowed = self.withdrawals.allow(&serving, id, now);
        if is_allowed {
            WITHDRAWAL_TIME
        } else {
            Duration::ZERO
        }
    }

    /// Whether an instance is late with its renewal, so that it may have been killed or disconnected.
    fn is_silent(&self, instance: &str, now: Instant) -> bool {
        let renewal = self.position(instance).map(|index| &self.renewals[index]);
        // A new leader has no renewals yet of instances that it knows.
        renewal.is_ok_and(|r| now.saturating_duration_since(r.renewed_at) > MAX_RENEWAL_AGE)
    }

    /// Removes instances that are not in the configuration, and counts those in the configuration
    /// without a renewal as renewed now.
    fn sync_with(&mut self, configuration: &Configuration, now: Instant) {
        self.renewals
            .retain(|r| find_instance(configuration, &r.instance).is_some());
        for instance in &configuration.instances {
            let Err(index) = self.position(&instance.id) else {
                continue;
            };
            let renewal = Renewal {
                instance: instance.id.as_str().into(),
                incarnation: instance.incarnation,
                renewed_at: now,
                revision: 0,
                index: 0,
            };
            self.renewals.insert(index, renewal);
        }
        let is_assigned =
            |pool: &CompactString| configuration.pools.iter().any(|p| p.pool == pool.as_str());
        self.unserved_pools.retain(|pool| !is_assigned(pool));
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.renewals
            .binary_search_by(|r| r.instance.as_str().cmp(instance))
    }
}

/// Renews the lease of an instance, and adds the instance if it is new or has changed.
pub async fn renew(shared: &Shared, request: RenewRequest) -> Result<RenewReply, RequestError> {
    let configuration = shared.read_configuration()?;
    let Some(instance) = &request.instance else {
        return Err(RequestError::Failed(Status::invalid_argument(
            "a renewal names its instance",
        )));
    };
    let existing = find_instance(&configuration, &instance.id);
    if existing.is_some_and(|k| k.incarnation > instance.incarnation) {
        return Err(RequestError::Failed(Status::failed_precondition(
            "a newer start of this instance is known: end this process",
        )));
    }
    if existing != Some(instance) {
        let applied = shared
            .submit_body(Body::PutInstance(instance.clone()))
            .await?;
        if let Some(jaylock_rpc::v1::applied::Result::Refused(reason)) = applied.result {
            return Err(RequestError::Failed(Status::failed_precondition(reason)));
        }
    }
    if shared.leases.borrow().losing.as_deref() == Some(&instance.id) {
        return Err(RequestError::Failed(Status::unavailable(
            "the lease or a pool of this instance is being taken away: ask again",
        )));
    }
    let now = shared.now();
    shared.leases.borrow_mut().renew(&request, instance, now);
    // The renewal is valid only if this replica is still the leader.
    let configuration = shared.read_configuration()?;
    let watch_bytes = shared.core.borrow().state.watch_bytes(request.index);
    let mut leases = shared.leases.borrow_mut();
    let withdrawal = leases.withdraw(&request, &configuration, &instance.id, now);
    Ok(RenewReply {
        lease_ms: millis(shared.settings.instance_lease),
        leader_address: None,
        index: configuration.index,
        withdrawal_ms: millis(withdrawal),
        watch_bytes: watch_bytes as u64,
    })
}

/// Removes instances whose leases have ended and assigns their pools to others.
pub async fn run(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(shared.settings.heartbeat_interval).await;
        let Ok(configuration) = shared.read_configuration() else {
            continue;
        };
        let now = shared.now();
        shared.leases.borrow_mut().sync_with(&configuration, now);
        let Some(change) = next_change(&shared, &configuration, now) else {
            continue;
        };
        shared.leases.borrow_mut().losing = change.losing;
        if let Err(error) = shared.submit_body(change.body).await {
            log::debug!(target: "control", "the leases were not updated: {error:?}");
        }
        shared.leases.borrow_mut().losing = None;
    }
}

fn next_change(
    shared: &Shared,
    configuration: &Configuration,
    now: Instant,
) -> Option<LeaseChange> {
    let leases = shared.leases.borrow();
    let lease_duration = shared.settings.instance_lease;
    let is_expired = |r: &&Renewal| now.duration_since(r.renewed_at) > lease_duration;
    if let Some(renewal) = leases.renewals.iter().find(is_expired) {
        let body = Body::RemoveInstance(InstanceGone {
            id: renewal.instance.clone().into(),
            incarnation: renewal.incarnation,
            reason: format!("its lease of {lease_duration:?} has ended"),
        });
        return Some(LeaseChange {
            body,
            losing: Some(renewal.instance.clone()),
        });
    }
    let orphaned_pool = configuration
        .pools
        .iter()
        .find(|p| !is_served(configuration, p));
    let epoch = orphaned_pool.map_or(0, |p| p.epoch) + 1;
    let pool = match orphaned_pool {
        Some(lease) => lease.pool.as_str(),
        None => leases.unserved_pools.first()?,
    };
    let holder = choose_scheduler(configuration, &shared.identity.instance)?;
    let body = Body::AssignPool(PoolLease {
        pool: pool.into(),
        instance: holder.id.clone(),
        incarnation: holder.incarnation,
        epoch,
    });
    let losing = orphaned_pool.map(|p| p.instance.as_str().into());
    Some(LeaseChange { body, losing })
}

/// Whether the instance that schedules a pool is live and not leaving.
fn is_served(configuration: &Configuration, lease: &PoolLease) -> bool {
    let holder = find_instance(configuration, &lease.instance);
    holder.is_some_and(|i| i.incarnation == lease.incarnation && !i.leaving)
}

/// The instance with the fewest pools; instances with a disk are preferred, and others than the leader.
///
/// The loss of a leader that schedules a pool would leave the pool without a scheduler for an election and a lease.
fn choose_scheduler<'a>(configuration: &'a Configuration, leader: &str) -> Option<&'a Instance> {
    let pool_count = |i: &Instance| {
        let is_held = |p: &&PoolLease| p.instance == i.id && p.incarnation == i.incarnation;
        configuration.pools.iter().filter(is_held).count()
    };
    let remaining = configuration.instances.iter().filter(|i| !i.leaving);
    remaining.min_by_key(|i| (!i.disk, i.id == leader, pool_count(i), i.id.clone()))
}
