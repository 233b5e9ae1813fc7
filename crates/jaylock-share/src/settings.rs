use std::time::Duration;

/// Settings of the schedulers that an instance runs.
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// Requests of one organisation that may wait in a pool, where its own configuration says 0.
    pub queue_limit: u32,
    /// Free slots, in 100 of all, above which grants are marked as to spare.
    pub spare_percent: u32,
    /// Requests that may wait in a pool before organisations are held to equal parts of it.
    pub max_pool_waiting: usize,
    /// Time after which a backend server that was not heard gets nothing new.
    pub backend_lease: Duration,
    /// Time for which the slots of a lost router are kept for its return.
    pub router_lease: Duration,
    /// Time in which a new scheduler hears what runs before it grants anything.
    pub settling_time: Duration,
    /// Time that a request waits for a backend server to appear before it is refused.
    pub max_backend_wait: Duration,
    /// Wait after which the long requests of an organisation take turns with its short ones.
    pub starvation_wait: Duration,
    /// Part of the tokens still expected of a run that is charged before they come, in 100.
    pub precharge_percent: u32,
    /// Cost in tokens that is expected of a pool's first request.
    pub initial_cost_tokens: u64,
    /// Decisions that are remembered for explaining requests.
    pub max_decisions: usize,
    /// Prompt prefixes that are remembered for each backend server.
    pub max_prefixes: usize,
    /// Silence after which a router that has work waiting is told that the scheduler lives.
    pub heartbeat_interval: Duration,
    /// Time over which answers to one router are joined.
    pub batch_window: Duration,
    /// Tokens of a prompt that an engine is taken to read in a ms before it has shown its pace.
    pub initial_prefill_rate: u32,
    /// Reading that an engine may have before it; what is beyond waits at the scheduler, in fair order.
    pub max_prefill_backlog: Duration,
    /// Part of a request's objective that it may wait for a slot, in 100.
    pub objective_wait_percent: u32,
    /// Weighted service, in tokens for each backend server of the pool, by which an organisation may be behind while its
    /// requests wait for the engines that keep their prompts.
    pub max_service_gap: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            queue_limit: 256,
            spare_percent: 10,
            max_pool_waiting: 20_000,
            backend_lease: Duration::from_secs(3),
            router_lease: Duration::from_secs(3),
            settling_time: Duration::from_millis(300),
            max_backend_wait: Duration::from_millis(500),
            starvation_wait: Duration::from_secs(30),
            precharge_percent: 50,
            initial_cost_tokens: 128,
            max_decisions: 512,
            max_prefixes: 4096,
            heartbeat_interval: Duration::from_millis(500),
            batch_window: Duration::from_millis(2),
            initial_prefill_rate: 50,
            max_prefill_backlog: Duration::from_millis(150),
            objective_wait_percent: 50,
            max_service_gap: 20_000,
        }
    }
}

/// Settings of a router's client of the pools.
#[derive(Debug, Clone)]
pub struct SchedulerClientSettings {
    /// Time over which messages are joined after the first one.
    pub batch_window: Duration,
    /// Time over which ends are joined while the router has nothing waiting.
    pub end_batch_window: Duration,
    /// Time over which ends and progress are joined of runs whose slots the pool could spare.
    pub spare_batch_window: Duration,
    /// Shortest time between two reports of progress.
    pub min_progress_interval: Duration,
    /// Growth in tokens below which progress is not reported.
    pub min_progress_tokens: u64,
    /// Pause before a lost scheduler is called again.
    pub reconnect_delay: Duration,
    /// Time that a request waits for a scheduler to answer before it is refused.
    pub max_scheduler_wait: Duration,
    /// Silence of the scheduler, while work waits, after which its stream is given up.
    pub silence_timeout: Duration,
    /// Time without a scheduler after which the router serves from its own slots.
    pub fallback_delay: Duration,
    /// Time for opening a stream.
    pub attach_timeout: Duration,
    /// Time for which reports of backend servers are told again to a new scheduler.
    pub report_retention: Duration,
}

impl Default for SchedulerClientSettings {
    fn default() -> Self {
        Self {
            batch_window: Duration::from_millis(3),
            end_batch_window: Duration::from_millis(50),
            spare_batch_window: Duration::from_secs(1),
            min_progress_interval: Duration::from_millis(250),
            min_progress_tokens: 128,
            reconnect_delay: Duration::from_millis(200),
            max_scheduler_wait: Duration::from_secs(5),
            silence_timeout: Duration::from_millis(1500),
            fallback_delay: Duration::from_millis(500),
            attach_timeout: Duration::from_secs(2),
            report_retention: Duration::from_secs(10),
        }
    }
}
