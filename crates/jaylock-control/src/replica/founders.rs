use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use futures_util::future::join_all;
use jaylock_rpc::v1::{GreetReply, Member};
use tonic::Status;

use super::Shared;
use super::join::GroupStatus;
use crate::storage::HardState;

/// Time between two warnings that no group is formed yet.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// What the other seeds of the first start have replied since this process began to join.
#[derive(Default)]
pub struct Founders {
    /// The newest reply of each address, sorted by address.
    replies: Vec<(String, GreetReply)>,
    warned_at: Option<Instant>,
}

/// Stores that the disk is in use since the first start of the fleet, which a restart with other settings must know.
///
/// # Errors
/// The replica is halted, or its disk can't be written; it is halted then.
pub async fn record_first_start(shared: &Shared) -> Result<(), Status> {
    let first_seeds = shared.bootstrap.first_seeds(&shared.identity.peer_address);
    let _disk_guard = shared.disk_lock.lock().await;
    // What the disk holds is unknown as long as it could not be read.
    shared.ensure_running()?;
    let hard_state = shared.core.borrow().hard_state.clone();
    let is_recorded = first_seeds.is_empty() || hard_state.first_seeds == first_seeds;
    if hard_state.generation > 0 || is_recorded {
        return Ok(());
    }
    log::info!(target: "control", "first start of the fleet with the seeds {}", first_seeds.join(", "));
    let hard_state = HardState {
        first_seeds,
        ..hard_state
    };
    shared.save_hard_state(hard_state).await
}

impl Founders {
    /// Asks the other seeds for their member records and disks.
    ///
    /// A disk in use since the first start has acknowledged nothing before it forms the group, so the replica is then a
    /// first member like any other: the rest may have restarted or be gone, once it is known who they are.
    pub async fn query(&mut self, shared: &Rc<Shared>) -> GroupStatus {
        let seeds = shared.core.borrow().hard_state.first_seeds.clone();
        if seeds.is_empty() {
            return GroupStatus::Exists;
        }
        let replies = greet_all(shared, &seeds).await;
        if replies.iter().any(|(_, reply)| reply.joined) {
            return GroupStatus::Exists;
        }
        let founders = replies.iter().filter(|(_, reply)| reply.seeds == seeds);
        if let Some((_, former)) = founders.clone().find(|(_, r)| !r.members.is_empty()) {
            return adopt(shared, former.members.clone());
        }
        let in_contact = founders.count();
        for (address, reply) in replies {
            self.remember(address, reply);
        }
        match self.obstacle(shared, &seeds, in_contact + 1) {
            None => GroupStatus::New(self.members(shared, &seeds), 0),
            Some(obstacle) => {
                self.warn(&obstacle);
                GroupStatus::Unknown
            }
        }
    }

    fn remember(&mut self, address: String, reply: GreetReply) {
        match self.replies.binary_search_by(|(a, _)| a.cmp(&address)) {
            Ok(at) => self.replies[at].1 = reply,
            Err(at) => self.replies.insert(at, (address, reply)),
        }
    }

    fn reply(&self, address: &str) -> Option<&GreetReply> {
        let search = self
            .replies
            .binary_search_by(|(a, _)| a.as_str().cmp(address));
        search.ok().map(|at| &self.replies[at].1)
    }

    /// Why the seeds don't form a group yet.
    fn obstacle(
        &self,
        shared: &Shared,
        seeds: &[String],
        founders: usize,
    ) -> Option<CompactString> {
        let own_address = &shared.identity.peer_address;
        for seed in seeds.iter().filter(|seed| *seed != own_address) {
            let Some(reply) = self.reply(seed) else {
                return Some(format_compact!("{seed} has not replied yet"));
            };
            if !reply.seeds.is_empty() && reply.seeds != seeds {
                return Some(format_compact!("{seed} has other seeds in its settings"));
            }
        }
        let quorum = seeds.len() / 2 + 1;
        (founders < quorum).then(|| {
            format_compact!(
                "{founders} of {quorum} seeds are in contact with disks of the first start"
            )
        })
    }

    /// The first members.
    fn members(&self, shared: &Shared, seeds: &[String]) -> Vec<Member> {
        let others = seeds
            .iter()
            .filter_map(|seed| self.reply(seed)?.member.clone());
        let own = shared.identity.clone();
        others.chain([own]).collect()
    }

    fn warn(&mut self, obstacle: &str) {
        let now = Instant::now();
        let warned_at = *self.warned_at.get_or_insert(now);
        if now.duration_since(warned_at) >= WARNING_INTERVAL {
            log::warn!(target: "control", "no group is formed yet: {obstacle}");
            self.warned_at = Some(now);
        }
    }
}

/// Takes over the first members that another seed has formed the group with.
fn adopt(shared: &Shared, members: Vec<Member>) -> GroupStatus {
    let own = &shared.identity.instance;
    if members.iter().any(|member| member.instance == *own) {
        return GroupStatus::New(members, 0);
    }
    GroupStatus::Exists
}

/// Greets the seeds of the first start and those of the settings, which may name others meanwhile.
async fn greet_all(shared: &Shared, seeds: &[String]) -> Vec<(String, GreetReply)> {
    let mut addresses: Vec<SocketAddr> = seeds.iter().filter_map(|s| s.parse().ok()).collect();
    addresses.extend(shared.bootstrap.seeds());
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| address.to_string() != shared.identity.peer_address);
    let replies = join_all(addresses.iter().map(|address| greet(shared, *address))).await;
    let replies = addresses.iter().zip(replies);
    replies
        .filter_map(|(address, reply)| Some((address.to_string(), reply?)))
        .collect()
}

async fn greet(shared: &Shared, seed: SocketAddr) -> Option<GreetReply> {
    let call = shared.transport.greet(seed);
    let reply = jaylock_rpc::with_timeout(shared.settings.reply_timeout, call).await;
    reply.ok().filter(|reply| reply.member.is_some())
}
