use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use jaylock_rpc::v1::{Instance, RenewReply, RenewRequest};
use jaylock_types::{Index, PoolId, boottime_now};

use crate::gossip::Gossip;
use crate::signal::Signal;
use crate::{ConfigView, ControlClient, FollowerSettings};

/// Keeps an instance's configuration up to date and its lease renewed.
pub struct Follower {
    client: ControlClient,
    view: ConfigView,
    shared: Rc<Shared>,
    settings: FollowerSettings,
}

struct Shared {
    instance: RefCell<Instance>,
    lease: InstanceLease,
    pools: RefCell<Vec<PoolId>>,
    /// Raised when the leader knew a change that the watch did not bring.
    behind: Signal,
}

/// The right of an instance to act; clones share it.
#[derive(Clone, Default)]
pub struct InstanceLease {
    end: Rc<Cell<Option<Instant>>>,
}

impl InstanceLease {
    /// A lease that holds until a moment.
    #[must_use]
    pub fn until(end: Instant) -> Self {
        let lease = Self::default();
        lease.extend(end);
        lease
    }

    /// Whether the lease of the last renewal, counted from when it was sent, still holds.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.is_valid_at(boottime_now())
    }

    /// Whether the lease of the last renewal still holds at a moment.
    #[must_use]
    pub fn is_valid_at(&self, moment: Instant) -> bool {
        self.end.get().is_some_and(|end| moment < end)
    }

    fn extend(&self, end: Instant) {
        self.end.set(self.end.get().max(Some(end)));
    }
}

/// Changes what an instance tells control with its next renewal; clones share it.
#[derive(Clone)]
pub struct FollowerHandle {
    shared: Rc<Shared>,
}

impl FollowerHandle {
    /// Says that the instance has begun a graceful shutdown.
    pub fn set_leaving(&self) {
        self.shared.instance.borrow_mut().leaving = true;
    }

    /// Names the pools announced here that no scheduler serves.
    pub fn set_unserved_pools(&self, pools: Vec<PoolId>) {
        *self.shared.pools.borrow_mut() = pools;
    }
}

impl Follower {
    /// Sets up a follower; nothing is sent before [`Follower::run`].
    #[must_use]
    pub fn new(
        client: ControlClient,
        view: ConfigView,
        instance: Instance,
        settings: FollowerSettings,
    ) -> Self {
        let shared = Shared {
            instance: instance.into(),
            lease: InstanceLease::default(),
            pools: Vec::new().into(),
            behind: Signal::default(),
        };
        Self {
            client,
            view,
            shared: Rc::new(shared),
            settings,
        }
    }

    /// The lease that this follower renews.
    #[must_use]
    pub fn lease(&self) -> InstanceLease {
        self.shared.lease.clone()
    }

    /// A handle that changes what the instance tells control.
    #[must_use]
    pub fn handle(&self) -> FollowerHandle {
        FollowerHandle {
            shared: self.shared.clone(),
        }
    }

    /// Follows until the future is dropped.
    pub async fn run(self) {
        let instance = self.shared.instance.borrow().id.clone();
        let gossip = Gossip::new(
            instance,
            self.view.clone(),
            self.lease(),
            self.client.channel_settings(),
            self.settings.clone(),
        );
        futures_util::join!(self.watch(), self.renew(), gossip.run());
    }

    /// Reads through the leader first, then watches one replica after another.
    async fn watch(&self) {
        while self.view.index().0 == 0 {
            match self.client.read().await {
                Ok(configuration) if configuration.index > 0 => {
                    let _ = self.view.update(configuration);
                }
                Ok(_) => compio::time::sleep(self.settings.renew_interval / 4).await,
                Err(error) => log::warn!(target: "control", "no configuration yet: {error}"),
            }
        }
        let mut turn = rand::random_range(0..usize::MAX / 2);
        let mut whole = false;
        loop {
            whole = !self.watch_one(turn, whole).await;
            turn += 1;
            compio::time::sleep(Duration::from_millis(rand::random_range(20..100))).await;
        }
    }

    /// Follows one replica until it ends the watch; false when its changes did not fit.
    async fn watch_one(&self, turn: usize, whole: bool) -> bool {
        let index = self.view.index().0;
        let mut stream = match self.client.watch(index, whole, turn).await {
            Ok(stream) => stream,
            Err(status) => {
                log::debug!(target: "control", "no watch: {}", status.message());
                return !whole;
            }
        };
        let seen = self.shared.behind.count();
        loop {
            let behind = pin!(self.shared.behind.wait_past(seen));
            let reply = match select(pin!(stream.message()), behind).await {
                Either::Left((Ok(Some(reply)), _)) => reply,
                Either::Left(_) | Either::Right(_) => return true,
            };
            if !self.view.follow(&reply) {
                return false;
            }
            self.client.learn(&self.view.current());
            log::debug!(target: "control", "index {} is in force", self.view.index());
        }
    }

    /// Holds the lease from when the configuration that it was renewed under is in force.
    ///
    /// A watch that does not bring it soon may hang on a replica that is cut off from the leader: the
    /// configuration is read from the leader then, and another replica watched.
    fn hold(&self, reply: &RenewReply, sent: Instant) {
        let end = sent + Duration::from_millis(reply.lease_ms.into());
        let before = Index(reply.index.saturating_sub(1));
        let (shared, view, client) = (self.shared.clone(), self.view.clone(), self.client.clone());
        let patience = self.settings.max_watch_delay;
        let waiting = async move {
            let soon = compio::time::timeout(patience, view.wait_newer_than(before));
            if soon.await.is_err() {
                shared.behind.notify();
                match client.read().await {
                    Ok(newest) => drop(view.update(newest)),
                    Err(error) => log::warn!(target: "control", "the watch is behind: {error}"),
                }
            }
            let in_force = view.wait_newer_than(before);
            if compio::time::timeout_at(end, in_force).await.is_ok() {
                shared.lease.extend(end);
                view.stay_connected(end);
            }
        };
        compio::runtime::spawn(waiting).detach();
    }

    async fn renew(&self) {
        loop {
            let started = Instant::now();
            let request = RenewRequest {
                instance: Some(self.shared.instance.borrow().clone()),
                revision: self.view.revision().0,
                index: self.view.index().0,
                pools: self
                    .shared
                    .pools
                    .borrow()
                    .iter()
                    .map(ToString::to_string)
                    .collect(),
            };
            match self.client.renew_timed(request).await {
                Ok((reply, sent)) => self.hold(&reply, sent),
                Err(error) => log::warn!(target: "control", "the lease is not renewed: {error}"),
            }
            let pause = self
                .settings
                .renew_interval
                .saturating_sub(started.elapsed());
            compio::time::sleep(pause).await;
        }
    }
}
