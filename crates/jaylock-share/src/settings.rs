use std::time::Duration;

/// Settings of the schedulers that an instance runs.
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// Requests of one organisation that may wait in a pool, where its own configuration says 0.
    pub queue_limit: u32,
    /// Free slots, in 100 of all, above which grants are marked as to spare.
    pub spare_slots: u32,
    /// Requests that may wait in a pool before organisations are held to equal parts of it.
    pub pool_limit: usize,
    /// Time after which a backend server that was not heard gets nothing new.
    pub backend_lease: Duration,
    /// Time for which the slots of a lost router are kept for its return.
    pub router_lease: Duration,
    /// Time in which a new scheduler hears what runs before it grants anything.
    pub settling: Duration,
    /// Time that a request waits for a backend server to appear before it is refused.
    pub backend_wait: Duration,
    /// Wait after which the long requests of an organisation take turns with its short ones.
    pub longest_wait: Duration,
    /// Part of the tokens still expected of a run that is charged before they come, in 100.
    pub charged_ahead: u32,
    /// Cost in tokens that is expected of a pool's first request.
    pub first_cost: u64,
    /// Decisions that are remembered for explaining requests.
    pub decisions: usize,
    /// Prompt prefixes that are remembered for each backend server.
    pub prefixes: usize,
    /// Silence after which a router that has work waiting is told that the scheduler lives.
    pub heartbeat: Duration,
    /// Time over which answers to one router are joined.
    pub join: Duration,
    /// Tokens of a prompt that an engine is taken to read in a ms before it has shown its pace.
    pub reading_pace: u32,
    /// Reading that an engine may have before it; what is beyond waits at the scheduler, in fair order.
    pub read_ahead: Duration,
    /// Part of a request's objective that it may wait for a slot, in 100.
    pub objective_wait: u32,
    /// Weighted service, in tokens for each backend server of the pool, by which an organisation may be behind while its
    /// requests wait for the engines that keep their prompts.
    pub longest_gap: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            queue_limit: 256,
            spare_slots: 10,
            pool_limit: 20_000,
            backend_lease: Duration::from_secs(3),
            router_lease: Duration::from_secs(3),
            settling: Duration::from_millis(300),
            backend_wait: Duration::from_millis(500),
            longest_wait: Duration::from_secs(30),
            charged_ahead: 50,
            first_cost: 128,
            decisions: 512,
            prefixes: 4096,
            heartbeat: Duration::from_millis(500),
            join: Duration::from_millis(2),
            reading_pace: 50,
            read_ahead: Duration::from_millis(150),
            objective_wait: 50,
            longest_gap: 20_000,
        }
    }
}

/// Settings of a router's client of the pools.
#[derive(Debug, Clone)]
pub struct SchedulerClientSettings {
    /// Time over which messages are joined after the first one.
    pub join: Duration,
    /// Time over which ends are joined while the router has nothing waiting.
    pub join_ends: Duration,
    /// Time over which ends and progress are joined of runs whose slots the pool could spare.
    pub join_spare: Duration,
    /// Shortest time between two reports of progress.
    pub progress_interval: Duration,
    /// Growth in tokens below which progress is not reported.
    pub progress_tokens: u64,
    /// Pause before a lost scheduler is called again.
    pub retry: Duration,
    /// Time that a request waits for a scheduler to answer before it is refused.
    pub scheduler_wait: Duration,
    /// Silence of the scheduler, while work waits, after which its stream is given up.
    pub silence: Duration,
    /// Time without a scheduler after which the router serves from its own slots.
    pub fallback_after: Duration,
    /// Time for opening a stream.
    pub attach_timeout: Duration,
    /// Time for which reports of backend servers are told again to a new scheduler.
    pub report_keep: Duration,
}

impl Default for SchedulerClientSettings {
    fn default() -> Self {
        Self {
            join: Duration::from_millis(3),
            join_ends: Duration::from_millis(50),
            join_spare: Duration::from_secs(1),
            progress_interval: Duration::from_millis(250),
            progress_tokens: 128,
            retry: Duration::from_millis(200),
            scheduler_wait: Duration::from_secs(5),
            silence: Duration::from_millis(1500),
            fallback_after: Duration::from_millis(500),
            attach_timeout: Duration::from_secs(2),
            report_keep: Duration::from_secs(10),
        }
    }
}
