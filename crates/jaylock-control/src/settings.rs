use std::time::Duration;

use jaylock_rpc::ChannelSettings;

/// Settings of a replica of the log.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Connections to the other replicas.
    pub channel: ChannelSettings,
    /// Time between two messages of the leader to a replica.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact to a leader after which a replica starts an election.
    ///
    /// The maximum is twice as long; each replica draws a random time in between.
    pub election_timeout: Duration,
    /// How long a leader serves requests after its last contact with a majority.
    ///
    /// Must be shorter than `election_timeout`.
    pub leader_lease: Duration,
    /// Timeout for a reply of another replica.
    pub reply_timeout: Duration,
    /// Number of voting replicas that the group maintains.
    pub voters: usize,
    /// Number of replicas whose disks may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time without contact after which a replica is replaced by one on a spare instance.
    pub replace_after: Duration,
    /// How long the lease of an instance is valid after its renewal was sent.
    pub instance_lease: Duration,
    /// Number of entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Number of entries retained before a snapshot, for replicas that are slightly behind.
    pub retained_entries: u64,
    /// Size of the entries in bytes after which a snapshot is written.
    pub snapshot_bytes: u64,
    /// Size of the entries in bytes that are retained before a snapshot.
    pub retained_bytes: u64,
    /// Maximum number of commands that wait to be committed.
    pub max_pending_commands: usize,
    /// Size in bytes of the commands that wait to be committed at which a further one is refused.
    ///
    /// Changes by operators are refused at half of it, so that the fleet's own commands go on.
    pub max_pending_bytes: u64,
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
            tolerated_losses: 1,
            replace_after: Duration::from_secs(30),
            instance_lease: Duration::from_secs(3),
            snapshot_entries: 4096,
            retained_entries: 1024,
            snapshot_bytes: 8 << 20,
            retained_bytes: 4 << 20,
            max_pending_commands: 4096,
            max_pending_bytes: 4 << 20,
        }
    }
}

/// Settings of a client of the control replicas.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Timeout for a call including its retries.
    pub timeout: Duration,
    /// Timeout for a reply of one replica.
    pub reply_timeout: Duration,
    /// Delay before a retry after calls to all replicas failed.
    pub retry_delay: Duration,
    /// Delay before a retry after the leader had too many commands.
    pub busy_delay: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(2),
            retry_delay: Duration::from_millis(50),
            busy_delay: Duration::from_millis(200),
        }
    }
}

/// Settings of a [`Follower`](crate::Follower).
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Time between two renewals of the lease.
    pub renew_interval: Duration,
    /// Time between two rounds of gossip.
    pub gossip_interval: Duration,
    /// Timeout for a reply of another instance.
    pub reply_timeout: Duration,
    /// How long the instance counts as connected after a majority of the called instances replied.
    pub connected_timeout: Duration,
    /// Time within which the watch must deliver a change that the leader has reported.
    ///
    /// After that time, the configuration is read from the leader.
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
