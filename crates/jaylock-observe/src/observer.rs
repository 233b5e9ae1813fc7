use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use jaylock_rpc::v1::{BurnMinute, TraceStep};
use jaylock_types::{Incarnation, InstanceId, RequestId, unix_ms};
use log::Level;

use crate::clock::{Minute, WallClock};
use crate::metrics::Metrics;
use crate::minutes::Minutes;
use crate::objective::{Objective, Objectives};
use crate::trace::Traces;
use crate::{RequestKind, RequestRecord};

/// Settings of the notes that an instance takes.
#[derive(Debug, Clone)]
pub struct ObserverSettings {
    /// Which start of the instance this is.
    pub incarnation: Incarnation,
    /// What requests are held against.
    pub objectives: Objectives,
    /// Organisations with series of their own in the metrics.
    pub max_organisations: usize,
    /// Requests whose steps are kept.
    pub max_traces: usize,
    /// Where the time is read.
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

/// Takes notes of what an instance does; clones share them.
#[derive(Clone)]
pub struct Observer {
    shared: Rc<Shared>,
}

struct Shared {
    settings: ObserverSettings,
    metrics: Metrics,
    minutes: RefCell<Minutes>,
    traces: RefCell<Traces>,
}

impl Default for Observer {
    fn default() -> Self {
        Self::start("", ObserverSettings::default())
    }
}

impl Observer {
    /// Starts taking notes for an instance.
    #[must_use]
    pub fn new(instance: &InstanceId, settings: ObserverSettings) -> Self {
        Self::start(instance.as_str(), settings)
    }

    fn start(instance: &str, settings: ObserverSettings) -> Self {
        let minute = Minute::of_ms((settings.clock)());
        let minutes = Minutes::new(instance, settings.incarnation, minute);
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

    /// Counts a finished request.
    pub fn record_request(&self, record: &RequestRecord) {
        log_end(record);
        self.shared.metrics.finished(record);
        let minute = self.minute();
        let organisation = record.organisation.as_str();
        let mut minutes = self.shared.minutes.borrow_mut();
        for judgement in self.shared.settings.objectives.judge(record) {
            self.shared.metrics.judged(&judgement);
            minutes.count(minute, organisation, &judgement);
        }
    }

    /// Notes a step in the life of a request, for explaining it later.
    pub fn record_step(&self, request: &RequestId, text: impl Into<CompactString>) {
        let text = text.into();
        log::debug!(target: "router", "request {request}: {text}");
        let now = (self.shared.settings.clock)();
        self.shared.traces.borrow_mut().push(request, now, text);
    }

    /// The steps of a request, oldest first; empty when it is not known, or no longer.
    #[must_use]
    pub fn trace(&self, request: &RequestId) -> Vec<TraceStep> {
        self.shared.traces.borrow().of(request)
    }

    /// All metrics in the text form of Prometheus.
    #[must_use]
    pub fn exposition(&self) -> String {
        self.shared.metrics.exposition()
    }

    /// What requests are held against.
    #[must_use]
    pub fn objectives(&self) -> Vec<Objective> {
        self.shared.settings.objectives.list()
    }

    /// Counts from a minute since 1970 on: of this instance, and what others handed to it.
    #[must_use]
    pub fn burn_minutes(&self, since_minute: u64) -> Vec<BurnMinute> {
        let mut minutes = self.shared.minutes.borrow_mut();
        minutes.turn(self.minute());
        minutes.since(Minute(since_minute))
    }

    /// Counts of this instance that were finished since the last call, for handing to others.
    #[must_use]
    pub fn take_finished_minutes(&self) -> Vec<BurnMinute> {
        self.shared.minutes.borrow_mut().take(self.minute())
    }

    /// Keeps what another instance hands over, so that it outlasts that instance's restart.
    pub fn store_minutes(&self, minutes: Vec<BurnMinute>) {
        self.shared.minutes.borrow_mut().keep(minutes);
    }

    fn minute(&self) -> Minute {
        Minute::of_ms((self.shared.settings.clock)())
    }
}

/// Ordinary successes are told at debug only; counters hold them.
fn log_end(record: &RequestRecord) {
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
        "request has ended"
    );
}

/// Milliseconds with three decimals, so that short phases can be told apart.
fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e6).round() / 1e3
}
