use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Configuration, Instance, InstanceGone, InstanceLag, PoolLease};
use jaylock_rpc::v1::{RenewReply, RenewRequest};
use tonic::Status;

use crate::replica::{Refusal, Shared};
use crate::state::find_instance;

/// Which instances live, as the leader knows; kept in memory only.
///
/// A new leader counts every known instance as renewed when it began, so that none is taken for
/// gone before the longest lease that an earlier leader may have given is over.
#[derive(Debug, Default)]
pub struct Leases {
    /// Sorted by instance.
    renewals: Vec<Renewal>,
    /// Pools without a scheduler, sorted.
    wanted: Vec<CompactString>,
}

#[derive(Debug)]
struct Renewal {
    instance: CompactString,
    incarnation: u64,
    at: Instant,
    revision: u64,
    index: u64,
}

impl Leases {
    /// Forgets what an earlier time as leader left.
    pub fn begin(&mut self) {
        self.renewals.clear();
        self.wanted.clear();
    }

    /// What each instance has in force.
    pub fn lag(&self) -> Vec<InstanceLag> {
        let lag = |renewal: &Renewal| InstanceLag {
            instance: renewal.instance.clone().into(),
            revision: renewal.revision,
            index: renewal.index,
        };
        self.renewals.iter().map(lag).collect()
    }

    /// Whether an instance was heard within `silence`.
    pub fn is_live(&self, instance: &str, now: Instant, silence: Duration) -> bool {
        let renewal = self.position(instance).ok().map(|at| &self.renewals[at]);
        renewal.is_some_and(|r| now.duration_since(r.at) < silence)
    }

    fn renew(&mut self, request: &RenewRequest, instance: &Instance, now: Instant) {
        let renewal = Renewal {
            instance: instance.id.as_str().into(),
            incarnation: instance.incarnation,
            at: now,
            revision: request.revision,
            index: request.index,
        };
        match self.position(&instance.id) {
            Ok(at) => self.renewals[at] = renewal,
            Err(at) => self.renewals.insert(at, renewal),
        }
        for pool in &request.pools {
            let pool = CompactString::from(pool);
            if let Err(at) = self.wanted.binary_search(&pool) {
                self.wanted.insert(at, pool);
            }
        }
    }

    /// Drops instances that the configuration does not name, and gives those it names but that
    /// were not heard yet the time of a lease.
    fn align(&mut self, configuration: &Configuration, now: Instant) {
        self.renewals
            .retain(|r| find_instance(configuration, &r.instance).is_some());
        for instance in &configuration.instances {
            let Err(at) = self.position(&instance.id) else {
                continue;
            };
            let renewal = Renewal {
                instance: instance.id.as_str().into(),
                incarnation: instance.incarnation,
                at: now,
                revision: 0,
                index: 0,
            };
            self.renewals.insert(at, renewal);
        }
        let known =
            |pool: &CompactString| configuration.pools.iter().any(|p| p.pool == pool.as_str());
        self.wanted.retain(|pool| !known(pool));
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.renewals
            .binary_search_by(|r| r.instance.as_str().cmp(instance))
    }
}

/// Renews the lease of an instance, and enters it when it is new or has changed.
pub async fn renew(shared: &Shared, request: RenewRequest) -> Result<RenewReply, Refusal> {
    let configuration = shared.read_configuration()?;
    let Some(instance) = &request.instance else {
        return Err(Refusal::Unavailable(Status::invalid_argument(
            "a renewal names its instance",
        )));
    };
    let known = find_instance(&configuration, &instance.id);
    if known.is_some_and(|k| k.incarnation > instance.incarnation) {
        return Err(Refusal::Unavailable(Status::failed_precondition(
            "a newer start of this instance is known: end this process",
        )));
    }
    if known != Some(instance) {
        let applied = shared
            .submit_body(Body::PutInstance(instance.clone()))
            .await?;
        if let Some(jaylock_rpc::v1::applied::Result::Refused(reason)) = applied.result {
            return Err(Refusal::Unavailable(Status::failed_precondition(reason)));
        }
    }
    let now = shared.now();
    shared.leases.borrow_mut().renew(&request, instance, now);
    // The answer counts only if this replica led until now.
    let index = shared.read_configuration()?.index;
    let lease_ms = shared.settings.instance_lease.as_millis();
    Ok(RenewReply {
        lease_ms: u32::try_from(lease_ms).unwrap_or(u32::MAX),
        leader_address: None,
        index,
    })
}

/// Takes instances out whose leases have ended, and gives their pools to others.
pub async fn keep(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(shared.settings.heartbeat_interval).await;
        let Ok(configuration) = shared.read_configuration() else {
            continue;
        };
        let now = shared.now();
        shared.leases.borrow_mut().align(&configuration, now);
        let Some(body) = next_change(&shared, &configuration, now) else {
            continue;
        };
        if let Err(refusal) = shared.submit_body(body).await {
            log::debug!(target: "control", "a lease was not settled: {refusal:?}");
        }
    }
}

fn next_change(shared: &Shared, configuration: &Configuration, now: Instant) -> Option<Body> {
    let leases = shared.leases.borrow();
    let limit = shared.settings.instance_lease;
    let ended = |r: &&Renewal| now.duration_since(r.at) > limit;
    if let Some(renewal) = leases.renewals.iter().find(ended) {
        return Some(Body::RemoveInstance(InstanceGone {
            id: renewal.instance.clone().into(),
            incarnation: renewal.incarnation,
            reason: format!("its lease of {limit:?} has ended"),
        }));
    }
    let orphaned = configuration
        .pools
        .iter()
        .find(|p| !is_served(configuration, p));
    let epoch = orphaned.map_or(0, |p| p.epoch) + 1;
    let pool = match orphaned {
        Some(lease) => lease.pool.as_str(),
        None => leases.wanted.first()?,
    };
    let holder = choose(configuration)?;
    Some(Body::AssignPool(PoolLease {
        pool: pool.into(),
        instance: holder.id.clone(),
        incarnation: holder.incarnation,
        epoch,
    }))
}

/// Whether the holder of a pool lives and stays.
fn is_served(configuration: &Configuration, lease: &PoolLease) -> bool {
    let holder = find_instance(configuration, &lease.instance);
    holder.is_some_and(|i| i.incarnation == lease.incarnation && !i.leaving)
}

/// The instance with the fewest pools, those with disks first.
fn choose(configuration: &Configuration) -> Option<&Instance> {
    let held = |i: &Instance| {
        let own = |p: &&PoolLease| p.instance == i.id && p.incarnation == i.incarnation;
        configuration.pools.iter().filter(own).count()
    };
    let staying = configuration.instances.iter().filter(|i| !i.leaving);
    staying.min_by_key(|i| (!i.disk, held(i), i.id.clone()))
}
