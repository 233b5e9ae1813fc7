use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use jaylock_rpc::v1::{BurnMinute, TraceStep};
use jaylock_types::{Incarnation, InstanceId, RequestId, unix_ms};
use log::Level;

use crate::clock::{Minute, WallClock};
use crate::hedge_event::HedgeEvent;
use crate::memory_use::MemoryUse;
use crate::metrics::Metrics;
use crate::minutes::MinuteStore;
use crate::objective::{Objective, Objectives};
use crate::relay_event::RelayEvent;
use crate::trace::Traces;
use crate::{RequestKind, RequestRecord};

/// Settings of an [`Observer`].
#[derive(Debug, Clone)]
pub struct ObserverSettings {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Objectives that requests are evaluated against.
    pub objectives: Objectives,
    /// Maximum number of organisations with a separate series in the metrics.
    pub max_organisations: usize,
    /// Maximum number of requests with a stored trace.
    pub max_traces: usize,
    /// Clock for burn minutes and trace steps.
    pub clock: WallClock,
}

impl Default for ObserverSettings {
    fn default() -> Self {
        Self {
            incarnation: Incarnation(0),
            objectives: Objectives::default(),
            max_organisations: 64,
            max_traces: 1024,
            clock: unix_ms,
        }
    }
}

/// Records metrics, burn minutes and traces of an instance; clones share the records.
#[derive(Clone)]
pub struct Observer {
    shared: Rc<Shared>,
}

struct Shared {
    settings: ObserverSettings,
    metrics: Metrics,
    minutes: RefCell<MinuteStore>,
    traces: RefCell<Traces>,
}

impl Default for Observer {
    fn default() -> Self {
        Self::with_name("", ObserverSettings::default())
    }
}

impl Observer {
    /// Creates the observer of an instance.
    #[must_use]
    pub fn new(instance: &InstanceId, settings: ObserverSettings) -> Self {
        Self::with_name(instance.as_str(), settings)
    }

    fn with_name(instance: &str, settings: ObserverSettings) -> Self {
        let minute = Minute::from_ms((settings.clock)());
        let minutes = MinuteStore::new(instance, settings.incarnation, minute);
        let shared = Shared {
            metrics: Metrics::new(settings.max_organisations),
            minutes: RefCell::new(minutes),
            traces: RefCell::new(Traces::new(settings.max_traces)),
            settings,
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Logs a finished request and counts it in the metrics and burn minutes.
    pub fn record_request(&self, record: &RequestRecord) {
        log_request(record);
        self.shared.metrics.record_request(record);
        let minute = self.minute();
        let organisation = record.organisation.as_str();
        let mut minutes = self.shared.minutes.borrow_mut();
        for result in self.shared.settings.objectives.evaluate(record) {
            self.shared.metrics.record_result(&result);
            minutes.record(minute, organisation, &result);
        }
    }

    /// Records a step of a request in its trace.
    pub fn record_step(&self, request: &RequestId, text: impl Into<CompactString>) {
        let text = text.into();
        log::debug!(target: "router", "request {request}: {text}");
        let now = (self.shared.settings.clock)();
        self.shared.traces.borrow_mut().push(request, now, text);
    }

    /// The steps of a request, oldest first; empty when the request is unknown or no longer stored.
    #[must_use]
    pub fn trace(&self, request: &RequestId) -> Vec<TraceStep> {
        self.shared.traces.borrow().steps(request)
    }

    /// Sets in the metrics how many bytes are kept for a use.
    pub fn record_memory(&self, used_for: MemoryUse, bytes: u64) {
        self.shared.metrics.record_memory(used_for, bytes);
    }

    /// Sets in the metrics whether a failure domain is evacuated in the active configuration.
    pub fn record_evacuation(&self, domain: &str, is_evacuated: bool) {
        self.shared.metrics.record_evacuation(domain, is_evacuated);
    }

    /// Counts an attempt whose answer broke off or was none.
    pub fn record_broken_answer(&self, kind: RequestKind) {
        self.shared.metrics.record_broken_answer(kind);
    }

    /// Counts what happened to a second attempt beside a slow one.
    pub fn record_hedge(&self, event: HedgeEvent) {
        self.shared.metrics.record_hedge(event);
    }

    /// Counts a connection that one router passes on to another one.
    pub fn record_relay(&self, event: RelayEvent) {
        self.shared.metrics.record_relay(event);
    }

    /// Counts the time for which an attempt ran whose response was not needed.
    pub fn record_hedge_waste(&self, time: Duration) {
        self.shared.metrics.record_hedge_waste(time);
    }

    /// All metrics in the text exposition format of Prometheus.
    #[must_use]
    pub fn exposition(&self) -> String {
        self.shared.metrics.exposition()
    }

    /// Objectives that requests are evaluated against.
    #[must_use]
    pub fn objectives(&self) -> Vec<Objective> {
        self.shared.settings.objectives.list()
    }

    /// Entries of this and other instances from a minute on, given in minutes since the Unix epoch.
    #[must_use]
    pub fn burn_minutes(&self, since_minute: u64) -> Vec<BurnMinute> {
        let mut minutes = self.shared.minutes.borrow_mut();
        minutes.advance(self.minute());
        minutes.since(Minute(since_minute))
    }

    /// Takes the entries of this instance finished since the last call, for replication.
    #[must_use]
    pub fn take_finished_minutes(&self) -> Vec<BurnMinute> {
        self.shared.minutes.borrow_mut().take_pending(self.minute())
    }

    /// Stores entries replicated from another instance, which loses its own in a restart.
    pub fn store_minutes(&self, minutes: Vec<BurnMinute>) {
        self.shared.minutes.borrow_mut().store(minutes);
    }

    fn minute(&self) -> Minute {
        Minute::from_ms((self.shared.settings.clock)())
    }
}

/// Logs the end of a request; successes only at debug level, since the metrics count them.
fn log_request(record: &RequestRecord) {
    let level = if record.is_complete && record.status < 400 {
        Level::Debug
    } else {
        Level::Info
    };
    let kind = match record.kind {
        RequestKind::Model => "model",
        RequestKind::Service => "service",
    };
    log::log!(
        target: "router", level,
        request = record.request.as_str(), organisation = record.organisation.as_str(),
        pool = record.pool.as_str(), kind, status = record.status, run:? = record.run, reason = record.reason,
        attempts = record.attempts, admitted_ms = millis(record.admission_time),
        waited_ms = millis(record.wait_time), head_ms:? = record.head_time.map(millis),
        first_ms:? = record.first_token_time.map(millis), total_ms = millis(record.total_time);
        "request finished"
    );
}

/// Milliseconds with three decimals, to distinguish short phases.
fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e6).round() / 1e3
}
