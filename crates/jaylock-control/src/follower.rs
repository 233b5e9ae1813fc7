use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use jaylock_rpc::v1::{Instance, RenewReply, RenewRequest};
use jaylock_types::{Index, PoolId, boottime_now};

use crate::gossip::Gossip;
use crate::signal::Signal;
use crate::transport::time_for;
use crate::{ConfigView, ControlClient, FollowerSettings};

/// Keeps the configuration of an instance up to date and its lease renewed.
pub struct Follower {
    client: ControlClient,
    view: ConfigView,
    shared: Rc<Shared>,
    settings: FollowerSettings,
}

struct Shared {
    instance: RefCell<Instance>,
    lease: InstanceLease,
    unserved_pools: RefCell<Vec<PoolId>>,
    /// Notified when the leader has a change that the watch did not deliver in time.
    watch_lagging: Signal,
    /// Whether the lease is not renewed any more.
    is_stopped: Cell<bool>,
    /// Whether the instance asks to send its callers to others.
    is_overloaded: Cell<bool>,
    /// Notified when control must know at once what this instance reports.
    renewal_due: Signal,
}

/// The lease under which an instance may act; clones share it.
#[derive(Clone, Default)]
pub struct InstanceLease {
    end: Rc<Cell<Option<Instant>>>,
    withdrawal_end: Rc<Cell<Option<Instant>>>,
}

impl InstanceLease {
    /// A lease that is valid until `end`.
    #[must_use]
    pub fn until(end: Instant) -> Self {
        let lease = Self::default();
        lease.extend(end);
        lease
    }

    /// Whether the lease is valid now, counted from when the last renewal was sent.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.is_valid_at(boottime_now())
    }

    /// Whether the lease is valid at a given time.
    #[must_use]
    pub fn is_valid_at(&self, time: Instant) -> bool {
        self.end.get().is_some_and(|end| time < end)
    }

    /// Whether an overloaded instance may send its callers to others now.
    #[must_use]
    pub fn allows_withdrawal(&self) -> bool {
        let end = self.withdrawal_end.get();
        end.is_some_and(|end| boottime_now() < end)
    }

    /// Lets an overloaded instance send its callers to others until `end`.
    pub fn allow_withdrawal(&self, end: Instant) {
        self.withdrawal_end.set(Some(end));
    }

    fn extend(&self, end: Instant) {
        self.end.set(self.end.get().max(Some(end)));
    }
}

/// Sets what an instance reports to control with its renewals; clones share it.
#[derive(Clone)]
pub struct FollowerHandle {
    shared: Rc<Shared>,
}

impl FollowerHandle {
    /// Reports at once that the instance has begun a graceful shutdown.
    pub fn set_leaving(&self) {
        self.shared.instance.borrow_mut().leaving = true;
        self.shared.renewal_due.notify();
    }

    /// Sets whether the instance asks to send its callers to others; control is told at once when it begins to ask.
    pub fn set_overloaded(&self, is_overloaded: bool) {
        let was_overloaded = self.shared.is_overloaded.replace(is_overloaded);
        if is_overloaded && !was_overloaded {
            self.shared.renewal_due.notify();
        }
    }

    /// Ends the renewals, as one after the deregistration would register the instance again.
    pub fn stop_renewing(&self) {
        self.shared.is_stopped.set(true);
    }

    /// Sets the pools announced at this instance that no scheduler serves; new ones are reported at once.
    pub fn set_unserved_pools(&self, pools: Vec<PoolId>) {
        let known = self.shared.unserved_pools.replace(pools);
        let current = self.shared.unserved_pools.borrow();
        if current.iter().any(|pool| !known.contains(pool)) {
            self.shared.renewal_due.notify();
        }
    }
}

impl Follower {
    /// Creates a follower; nothing is sent before [`Follower::run`].
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
            unserved_pools: Vec::new().into(),
            watch_lagging: Signal::default(),
            is_stopped: Cell::new(false),
            is_overloaded: Cell::new(false),
            renewal_due: Signal::default(),
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

    /// A handle that sets what the instance reports to control.
    #[must_use]
    pub fn handle(&self) -> FollowerHandle {
        FollowerHandle {
            shared: self.shared.clone(),
        }
    }

    /// Runs until the future is dropped.
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

    /// Reads the configuration from the leader, then watches one replica after another.
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
        let mut attempt = rand::random_range(0..usize::MAX / 2);
        let mut is_full = false;
        loop {
            is_full = !self.watch_one(attempt, is_full).await;
            attempt += 1;
            compio::time::sleep(Duration::from_millis(rand::random_range(20..100))).await;
        }
    }

    /// Watches one replica until the watch ends.
    ///
    /// Returns false if the next watch must start with the full configuration.
    async fn watch_one(&self, attempt: usize, is_full: bool) -> bool {
        let index = self.view.index().0;
        let mut stream = match self.client.watch(index, is_full, attempt).await {
            Ok(stream) => stream,
            Err(status) => {
                log::debug!(target: "control", "can't open a watch: {}", status.message());
                return !is_full;
            }
        };
        let seen = self.shared.watch_lagging.count();
        loop {
            let lagging = pin!(self.shared.watch_lagging.wait_past(seen));
            let reply = match select(pin!(stream.message()), lagging).await {
                Either::Left((Ok(Some(reply)), _)) => reply,
                Either::Left(_) | Either::Right(_) => return true,
            };
            if !self.view.apply_changes(reply) {
                return false;
            }
            self.client.update_replicas(&self.view.current());
            log::debug!(target: "control", "the configuration at index {} is active", self.view.index());
        }
    }

    /// Extends the lease once the configuration under which it was renewed is active.
    ///
    /// A watch that does not deliver this configuration in time may be stuck at a replica that is
    /// disconnected from the leader. In that case, the configuration is read from the leader and the
    /// watch moves to another replica. A large one may take longer, as all instances together would
    /// otherwise ask the leader for the copies that the replicas are sending.
    fn extend_lease(&self, reply: &RenewReply, sent_at: Instant) {
        let end = sent_at + Duration::from_millis(reply.lease_ms.into());
        let before = Index(reply.index.saturating_sub(1));
        let (shared, view, client) = (self.shared.clone(), self.view.clone(), self.client.clone());
        let max_delay = self.max_watch_delay(reply);
        let waiting = async move {
            let delivery = compio::time::timeout(max_delay, view.wait_newer_than(before));
            if delivery.await.is_err() {
                shared.watch_lagging.notify();
                match client.read().await {
                    Ok(newest) => drop(view.update(newest)),
                    Err(error) => {
                        log::warn!(target: "control", "the watch lags behind, and reading from the leader failed: {error}");
                    }
                }
            }
            let active = view.wait_newer_than(before);
            if compio::time::timeout_at(end, active).await.is_ok() {
                shared.lease.extend(end);
                view.extend_connected(end);
            }
        };
        compio::runtime::spawn(waiting).detach();
    }

    /// Time for a watch to deliver what a renewal has named, within which a read from the leader can still save the lease.
    fn max_watch_delay(&self, reply: &RenewReply) -> Duration {
        let delay = self.settings.max_watch_delay;
        let longest = Duration::from_millis(reply.lease_ms.into()) / 2;
        let bytes = usize::try_from(reply.watch_bytes).unwrap_or(usize::MAX);
        time_for(delay, bytes).min(longest.max(delay))
    }

    async fn renew(&self) {
        while !self.shared.is_stopped.get() {
            let started = Instant::now();
            let seen = self.shared.renewal_due.count();
            let request = RenewRequest {
                instance: Some(self.shared.instance.borrow().clone()),
                revision: self.view.revision().0,
                index: self.view.index().0,
                pools: self
                    .shared
                    .unserved_pools
                    .borrow()
                    .iter()
                    .map(ToString::to_string)
                    .collect(),
                overloaded: self.shared.is_overloaded.get(),
            };
            match self.client.renew_timed(request).await {
                Ok((reply, sent_at)) => {
                    let withdrawal = Duration::from_millis(reply.withdrawal_ms.into());
                    self.shared.lease.allow_withdrawal(sent_at + withdrawal);
                    self.extend_lease(&reply, sent_at);
                }
                Err(error) => log::warn!(target: "control", "the lease was not renewed: {error}"),
            }
            let delay = self
                .settings
                .renew_interval
                .saturating_sub(started.elapsed());
            let due = self.shared.renewal_due.wait_past(seen);
            // An elapsed interval is the usual case and no error.
            let _ = compio::time::timeout(delay, due).await;
        }
    }
}
