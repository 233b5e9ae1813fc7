use std::time::Duration;

/// Settings of the schedulers that an instance runs.
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// Requests of one organisation that may wait in a pool, if the organisation's own limit is 0.
    pub queue_limit: u32,
    /// Requests that may wait in a pool before each organisation is limited to an equal share.
    pub max_pool_waiting: usize,
    /// Time without a report after which a backend server gets no new requests.
    pub backend_lease: Duration,
    /// Time for which the slots of a detached router stay taken until it attaches again.
    pub router_lease: Duration,
    /// Time in which a new scheduler collects the running requests before it grants any slot.
    pub startup_delay: Duration,
    /// Time that a request waits for an eligible backend server before it is refused.
    pub max_backend_wait: Duration,
    /// Wait after which the long requests of an organisation take turns with its short ones.
    pub starvation_wait: Duration,
    /// Share of a run's expected remaining tokens that is charged in advance, in percent.
    pub precharge_percent: u32,
    /// Expected cost of a request, in tokens, before any request of the pool has ended.
    pub initial_cost_tokens: u64,
    /// Latest decisions that are kept for explaining requests.
    pub max_decisions: usize,
    /// Prompt prefixes that are tracked for each backend server.
    pub max_prefixes: usize,
    /// Time without a message after which a router with waiting requests gets a heartbeat.
    pub heartbeat_interval: Duration,
    /// Time over which events are batched into one decision.
    pub batch_window: Duration,
    /// Assumed prefill rate of an engine before any was observed, in tokens per ms.
    pub initial_prefill_rate: u32,
    /// Pending prefill, as a time, up to which an engine gets requests; further ones wait at the scheduler, in fair order.
    pub max_pending_prefill: Duration,
    /// Share of a request's objective for which it may wait for a slot, in percent.
    pub objective_wait_percent: u32,
    /// Weighted service, in tokens per backend server of the pool, by which an organisation may be behind
    /// while its requests wait for the engines that cache their prompts.
    pub max_service_gap: u64,
    /// Whether backend servers of a pool are compared by their own paces instead of the pool's.
    pub uses_own_paces: bool,
    /// Whether engines that cache different parts of a prompt are compared by their own paces, too, so that a faster
    /// engine may compute a part again that a slower one caches.
    pub repeats_by_pace: bool,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            queue_limit: 256,
            max_pool_waiting: 20_000,
            backend_lease: Duration::from_secs(3),
            router_lease: Duration::from_secs(3),
            startup_delay: Duration::from_millis(300),
            max_backend_wait: Duration::from_millis(500),
            starvation_wait: Duration::from_secs(30),
            precharge_percent: 50,
            initial_cost_tokens: 128,
            max_decisions: 512,
            max_prefixes: 4096,
            heartbeat_interval: Duration::from_millis(500),
            batch_window: Duration::from_millis(2),
            initial_prefill_rate: 50,
            max_pending_prefill: Duration::from_millis(150),
            objective_wait_percent: 50,
            max_service_gap: 20_000,
            uses_own_paces: true,
            repeats_by_pace: false,
        }
    }
}

/// Settings of a router's client of the schedulers.
#[derive(Debug, Clone)]
pub struct SchedulerClientSettings {
    /// Time over which messages are batched after a frame.
    pub batch_window: Duration,
    /// Shortest time between two reports of progress.
    pub min_progress_interval: Duration,
    /// Tokens since the last progress report below which progress is not reported.
    pub min_progress_tokens: u64,
    /// Time over which reports of backend servers that say nothing new are collected.
    pub report_window: Duration,
    /// Time without a message after which an empty one is sent while requests wait for a slot or a first event.
    pub contact_interval: Duration,
    /// Delay before attaching to a scheduler again.
    pub reconnect_delay: Duration,
    /// Time that a request waits without a scheduler before it is refused.
    pub max_scheduler_wait: Duration,
    /// Time without a message, while requests wait, after which the scheduler's stream is closed.
    pub idle_timeout: Duration,
    /// Time without a scheduler after which the router grants its own slots.
    pub fallback_delay: Duration,
    /// Prefill that a router without a scheduler may have pending at an engine, as a time, when it sends a further prompt.
    pub max_local_prefill: Duration,
    /// Time after the loss of a scheduler in which the next one is expected.
    pub takeover_time: Duration,
    /// Share of a request's objective for which it may wait for a slot without a scheduler, in percent.
    pub objective_wait_percent: u32,
    /// Timeout for opening a stream.
    pub attach_timeout: Duration,
    /// Time for which reports of backend servers are kept for a new scheduler.
    pub report_retention: Duration,
}

impl Default for SchedulerClientSettings {
    fn default() -> Self {
        Self {
            batch_window: Duration::from_millis(3),
            min_progress_interval: Duration::from_millis(250),
            min_progress_tokens: 128,
            report_window: Duration::from_millis(50),
            contact_interval: Duration::from_millis(200),
            reconnect_delay: Duration::from_millis(200),
            max_scheduler_wait: Duration::from_secs(5),
            idle_timeout: Duration::from_millis(1500),
            fallback_delay: Duration::from_millis(500),
            max_local_prefill: Duration::from_millis(150),
            takeover_time: Duration::from_millis(2500),
            objective_wait_percent: 50,
            attach_timeout: Duration::from_secs(2),
            report_retention: Duration::from_secs(10),
        }
    }
}
