//! Connections of callers that a router with too much work passes on to other routers.

mod link;
mod peers;
mod policy;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use compio::net::TcpStream;
use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::{Observer, RelayEvent};
use jaylock_types::BoundedLog;

pub use self::link::RelayProof;
pub use self::peers::{Candidate, Peers};
pub use self::policy::RelayPolicy;

use self::link::LinkError;
use crate::lifecycle::Lifecycle;
use crate::overload::OverloadGuard;
use crate::settings::RouterIdentity;

/// Routers that are asked to take a connection before it is served here.
const MAX_TRIES: usize = 2;

/// What a router needs to pass connections on and to take them.
pub struct RelayContext {
    /// Identity of this router.
    pub identity: RouterIdentity,
    /// Active configuration, which names the other routers.
    pub view: ConfigView,
    /// Lease without which this router takes no connections.
    pub lease: InstanceLease,
    /// Measures the delay of the event loop.
    pub overload: OverloadGuard,
    /// Progress of a graceful shutdown.
    pub lifecycle: Rc<Lifecycle>,
    /// Counts the connections.
    pub observer: Observer,
    /// Proof that this router belongs to the fleet.
    pub proof: RelayProof,
}

/// Passes connections of callers on to other routers, and takes those of others.
pub struct Relay {
    context: RelayContext,
    policy: RefCell<RelayPolicy>,
    peers: RefCell<Peers>,
    log: RefCell<BoundedLog>,
}

impl Relay {
    /// Creates the relay of a router.
    #[must_use]
    pub fn new(context: RelayContext) -> Self {
        Self {
            context,
            policy: RefCell::default(),
            peers: RefCell::default(),
            log: RefCell::default(),
        }
    }

    /// Whether a connection that was accepted now is passed on.
    pub fn takes_next(&self) -> bool {
        if self.context.lifecycle.is_shutting_down() {
            return false;
        }
        let mut policy = self.policy.borrow_mut();
        policy.update(self.context.overload.delay(), Instant::now());
        policy.takes_next()
    }

    /// Whether kept connections end with their responses, so that their next requests can be passed on.
    pub fn closes_connections(&self) -> bool {
        self.policy.borrow().closes_connections()
    }

    /// Whether this router has room for connections of others.
    pub fn has_room(&self) -> bool {
        let context = &self.context;
        let is_serving = context.view.revision().0 > 0 && context.lease.is_valid();
        let has_time = RelayPolicy::takes_from_others(context.overload.delay());
        is_serving
            && has_time
            && !context.lifecycle.is_shutting_down()
            && !context.overload.is_overloaded()
    }

    /// Passes a connection on until it ends, or returns it if no router takes it.
    ///
    /// # Errors
    /// The connection, of which nothing was read.
    pub async fn pass_on(&self, caller: TcpStream) -> Result<(), TcpStream> {
        for _ in 0..MAX_TRIES {
            let Some(candidate) = self.choose() else {
                break;
            };
            match Box::pin(link::open(candidate.address, &self.context.proof)).await {
                Ok(peer) => {
                    self.record(RelayEvent::Taken, &candidate);
                    Box::pin(link::forward(caller, peer, &self.context.lifecycle)).await;
                    self.peers.borrow_mut().record_end(&candidate.id);
                    return Ok(());
                }
                Err(LinkError::Refused) => self.record(RelayEvent::Refused, &candidate),
                Err(LinkError::Unreachable(error)) => {
                    log::debug!(target: "router", peer = candidate.id.as_str(); "a router can't be reached: {error}");
                    self.record(RelayEvent::Unreachable, &candidate);
                }
            }
        }
        Err(caller)
    }

    /// Reads the preamble of another router's connection and answers it; returns false if it is not taken.
    ///
    /// # Errors
    /// The preamble doesn't arrive in time.
    pub async fn take(&self, stream: &mut TcpStream, has_room: bool) -> std::io::Result<bool> {
        if !link::read_preamble(stream, &self.context.proof).await? {
            log::warn!(target: "router", "a connection to relay_address is closed: its preamble is not that of this fleet");
            self.context.observer.record_relay(RelayEvent::Invalid);
            return Ok(false);
        }
        let takes = has_room && self.has_room();
        link::answer(stream, takes).await?;
        Ok(takes)
    }

    fn choose(&self) -> Option<Candidate> {
        let configuration = self.context.view.current();
        let identity = &self.context.identity;
        let own = (identity.instance.as_str(), identity.domain.as_str());
        let draw = |count: usize| rand::random_range(0..count);
        let mut peers = self.peers.borrow_mut();
        peers.retain(&configuration);
        peers.choose(&configuration, own, Instant::now(), draw)
    }

    fn record(&self, event: RelayEvent, candidate: &Candidate) {
        self.context.observer.record_relay(event);
        let now = Instant::now();
        let mut peers = self.peers.borrow_mut();
        match event {
            RelayEvent::Taken => peers.record_taken(&candidate.id),
            RelayEvent::Refused => peers.record_refusal(&candidate.id, now),
            RelayEvent::Unreachable | RelayEvent::Invalid => {
                peers.record_failure(&candidate.id, now);
            }
        }
        if event == RelayEvent::Taken
            && let Some(connections) = self.log.borrow_mut().record(now)
        {
            let delay = self.context.overload.delay();
            log::info!(
                target: "router",
                connections, delay_ms = delay.as_millis(), latest = candidate.id.as_str();
                "connections are passed on to other routers, as the processor is busy"
            );
        }
    }
}
