use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{Configuration, Instance};

/// Time for which a router that refused a connection is not asked again.
const REFUSAL_REST: Duration = Duration::from_millis(500);
/// Time for which a router that could not be reached is not asked again.
const FAILURE_REST: Duration = Duration::from_secs(2);
/// Assumed processor share of a router that reports none, in thousandths of a core.
const DEFAULT_CAPACITY: u32 = 1000;

/// The routers to which connections are passed on, as far as this router knows them.
///
/// The load that this answers: several routers pass connections on at the same time. Each draws two routers and takes the one
/// to which it passes less in proportion to its processor, so that they don't all choose the same one.
#[derive(Debug, Default)]
pub struct Peers {
    // Sorted by id.
    known: Vec<Peer>,
}

/// What this router knows of another one.
#[derive(Debug)]
struct Peer {
    id: CompactString,
    /// Connections that are passed on to it now.
    open: u32,
    rests_until: Option<Instant>,
}

/// A router that takes a connection, or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the instance.
    pub id: CompactString,
    /// Address for connections that are passed on.
    pub address: SocketAddr,
}

impl Peers {
    /// Chooses a router for a connection; one of another failure domain only if all of this domain refuse.
    ///
    /// `draw` returns a random number below its argument.
    pub fn choose(
        &self,
        configuration: &Configuration,
        (own_id, own_domain): (&str, &str),
        now: Instant,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<Candidate> {
        let may_take = |i: &&Instance| {
            let is_relay = !i.relay_address.is_empty() && !i.leaving;
            is_relay && i.id != own_id && !self.rests(&i.id, now)
        };
        let all: Vec<&Instance> = configuration.instances.iter().filter(may_take).collect();
        let local: Vec<&Instance> = all
            .iter()
            .copied()
            .filter(|i| i.domain == own_domain)
            .collect();
        let candidates = if local.is_empty() { all } else { local };
        if candidates.is_empty() {
            return None;
        }
        let drawn = [
            candidates[draw(candidates.len())],
            candidates[draw(candidates.len())],
        ];
        let chosen = drawn
            .into_iter()
            .min_by(|a, b| self.load(a).total_cmp(&self.load(b)))?;
        Some(Candidate {
            id: chosen.id.as_str().into(),
            address: chosen.relay_address.parse().ok()?,
        })
    }

    /// Records that a router has taken a connection.
    pub fn record_taken(&mut self, id: &str) {
        self.peer(id).open += 1;
    }

    /// Records the end of a connection that a router had taken.
    pub fn record_end(&mut self, id: &str) {
        let peer = self.peer(id);
        peer.open = peer.open.saturating_sub(1);
    }

    /// Records that a router refused a connection.
    pub fn record_refusal(&mut self, id: &str, now: Instant) {
        self.peer(id).rests_until = Some(now + REFUSAL_REST);
    }

    /// Records that a router could not be reached.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        self.peer(id).rests_until = Some(now + FAILURE_REST);
    }

    /// Forgets the routers that a configuration no longer names.
    pub fn retain(&mut self, configuration: &Configuration) {
        let instances = &configuration.instances;
        self.known
            .retain(|peer| peer.open > 0 || instances.iter().any(|i| peer.id == i.id));
    }

    /// Connections that a router would have, in proportion to its processor.
    fn load(&self, instance: &Instance) -> f64 {
        let open = self.find(&instance.id).map_or(0, |peer| peer.open);
        let capacity = match instance.capacity {
            0 => DEFAULT_CAPACITY,
            capacity => capacity,
        };
        f64::from(open + 1) / f64::from(capacity)
    }

    fn rests(&self, id: &str, now: Instant) -> bool {
        let peer = self.find(id);
        peer.and_then(|peer| peer.rests_until)
            .is_some_and(|until| now < until)
    }

    fn find(&self, id: &str) -> Option<&Peer> {
        self.position(id).ok().map(|index| &self.known[index])
    }

    fn peer(&mut self, id: &str) -> &mut Peer {
        let index = self.position(id).unwrap_or_else(|index| {
            let peer = Peer {
                id: id.into(),
                open: 0,
                rests_until: None,
            };
            self.known.insert(index, peer);
            index
        });
        &mut self.known[index]
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|peer| peer.id.as_str().cmp(id))
    }
}
