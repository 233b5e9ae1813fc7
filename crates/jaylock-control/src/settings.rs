use std::time::Duration;

use jaylock_rpc::ChannelSettings;

/// Settings of a replica of the log.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Connections to the other replicas.
    pub channel: ChannelSettings,
    /// Time between two messages of the leader to each replica.
    pub heartbeat_interval: Duration,
    /// Shortest silence of the leader after which another replica stands for election; the
    /// longest is twice as much.
    pub election_timeout: Duration,
    /// How long a leader answers after a majority was last heard; shorter than `election_timeout`.
    pub leader_lease: Duration,
    /// Time for the answer of another replica.
    pub reply_timeout: Duration,
    /// Voting replicas that the group keeps.
    pub voters: usize,
    /// Silence of a replica after which a spare instance takes its place.
    pub replace_after: Duration,
    /// How long an instance may act after a renewal was sent.
    pub instance_lease: Duration,
    /// Entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Entries kept before a snapshot, for replicas that are a little behind.
    pub retained_entries: u64,
    /// Commands that may wait for their commit at once.
    pub max_pending_commands: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            channel: ChannelSettings::default(),
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            leader_lease: Duration::from_millis(400),
            reply_timeout: Duration::from_millis(400),
            voters: 3,
            replace_after: Duration::from_secs(30),
            instance_lease: Duration::from_secs(3),
            snapshot_entries: 4096,
            retained_entries: 1024,
            max_pending_commands: 4096,
        }
    }
}

/// Settings of a client of the control replicas.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Time in which an answer is sought.
    pub timeout: Duration,
    /// Time for one replica to answer.
    pub reply_timeout: Duration,
    /// Pause after all replicas were asked in vain.
    pub retry_pause: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(2),
            retry_pause: Duration::from_millis(50),
        }
    }
}

/// Settings of an instance that follows the configuration.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Time between two renewals of the lease.
    pub renew_interval: Duration,
    /// Time between two exchanges with another instance.
    pub gossip_interval: Duration,
    /// Time for another instance to answer.
    pub reply_timeout: Duration,
    /// How long a heard answer counts as being connected.
    pub connected_timeout: Duration,
    /// Time for a watch to bring a change that the leader knows, before it is read from the leader.
    pub max_watch_delay: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            renew_interval: Duration::from_secs(1),
            gossip_interval: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(1),
            connected_timeout: Duration::from_secs(3),
            max_watch_delay: Duration::from_millis(400),
        }
    }
}
