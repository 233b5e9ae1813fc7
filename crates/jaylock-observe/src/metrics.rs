use std::cell::RefCell;
use std::time::Duration;

use compact_str::CompactString;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::hedge_event::HedgeEvent;
use crate::memory_use::MemoryUse;
use crate::objective::ObjectiveResult;
use crate::process::{cpu_seconds, resident_bytes};
use crate::relay_event::RelayEvent;
use crate::{RequestKind, RequestRecord, RunStatus};

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0, 600.0,
];
/// Label value shared by the organisations over the maximum.
const OTHER_ORGANISATIONS: &str = "other";

/// Metric instruments of an instance.
pub struct Metrics {
    registry: Registry,
    /// Kept alive because dropping the provider stops the instruments.
    _provider: Option<SdkMeterProvider>,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    broken_answers: Counter<u64>,
    tokens: Counter<u64>,
    objectives: Counter<u64>,
    hedges: Counter<u64>,
    hedge_waste: Counter<f64>,
    relays: Counter<u64>,
    first_token: Histogram<f64>,
    admission: Histogram<f64>,
    wait: Histogram<f64>,
    head: Histogram<f64>,
    duration: Histogram<f64>,
    memory: Gauge<u64>,
    evacuated: Gauge<u64>,
    /// Organisations with a separate series, sorted.
    organisations: RefCell<Vec<CompactString>>,
    max_organisations: usize,
}

impl Metrics {
    /// Creates the instruments; at most this many organisations get a separate series.
    pub fn new(max_organisations: usize) -> Self {
        let registry = Registry::new();
        let provider = create_provider(&registry);
        let meter = match &provider {
            Some(provider) => provider.meter("jaylock"),
            None => opentelemetry::global::meter("jaylock"),
        };
        register_process_metrics(&meter);
        register_traffic_metrics(&meter);
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let times = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram.with_boundaries(TIME_BUCKETS.to_vec()).build()
        };
        Self {
            requests: counter("jaylock_requests", "Requests that ended."),
            attempts: counter("jaylock_attempts", "Attempts at backend servers."),
            broken_answers: counter(
                "jaylock_broken_answers",
                "Attempts whose answer broke off or was none.",
            ),
            tokens: counter("jaylock_tokens", "Tokens generated."),
            objectives: counter("jaylock_objective_requests", "Requests by objective kept."),
            hedges: counter(
                "jaylock_hedges",
                "Second attempts beside slow ones, by event.",
            ),
            relays: counter(
                "jaylock_relayed_connections",
                "Connections that routers pass on to each other, by result.",
            ),
            hedge_waste: meter
                .f64_counter("jaylock_hedge_wasted_seconds")
                .with_description("Time for which attempts ran that another one made needless.")
                .build(),
            first_token: times("jaylock_first_token_seconds", "Time to the first token."),
            admission: times(
                "jaylock_admission_seconds",
                "Time from arrival until a slot was asked for.",
            ),
            wait: times("jaylock_wait_seconds", "Time spent waiting for slots."),
            head: times(
                "jaylock_head_seconds",
                "Time from a sending to the head of the answer.",
            ),
            duration: times(
                "jaylock_request_duration_seconds",
                "Time from arrival to end.",
            ),
            memory: meter
                .u64_gauge("jaylock_memory_bytes")
                .with_description("Bytes kept, by what they are kept for.")
                .build(),
            evacuated: meter
                .u64_gauge("jaylock_domain_evacuated")
                .with_description(
                    "1 for each failure domain that is evacuated, 0 for a restored one.",
                )
                .build(),
            organisations: RefCell::default(),
            max_organisations,
            _provider: provider,
            registry,
        }
    }

    /// Counts a finished request.
    pub fn record_request(&self, record: &RequestRecord) {
        let kind = KeyValue::new("kind", kind_label(record.kind));
        let labels = [
            kind.clone(),
            KeyValue::new("run", run_label(record.run)),
            KeyValue::new("status_class", status_class(record.status)),
        ];
        self.requests.add(1, &labels);
        let kind = [kind];
        self.attempts.add(record.attempts.into(), &kind);
        self.admission
            .record(record.admission_time.as_secs_f64(), &kind);
        if let Some(head) = record.head_time {
            self.head.record(head.as_secs_f64(), &kind);
        }
        self.wait.record(record.wait_time.as_secs_f64(), &kind);
        self.duration.record(record.total_time.as_secs_f64(), &kind);
        if let Some(first) = record.first_token_time.as_ref().map(Duration::as_secs_f64) {
            self.first_token.record(first, &kind);
        }
        let organisation = self.organisation_label(record.organisation.as_str());
        let label = KeyValue::new("organisation", organisation.into_string());
        self.tokens.add(record.tokens.0, &[label]);
    }

    /// Counts an attempt whose answer broke off or was none.
    pub fn record_broken_answer(&self, kind: RequestKind) {
        self.broken_answers
            .add(1, &[KeyValue::new("kind", kind_label(kind))]);
    }

    /// Counts the result of a request for an objective.
    pub fn record_result(&self, result: &ObjectiveResult) {
        let label = if result.is_good { "good" } else { "bad" };
        let labels = [
            KeyValue::new("objective", result.kind.name()),
            KeyValue::new("result", label),
        ];
        self.objectives.add(1, &labels);
    }

    /// Counts what happened to a second attempt beside a slow one.
    pub fn record_hedge(&self, event: HedgeEvent) {
        self.hedges.add(1, &[KeyValue::new("event", event.label())]);
    }

    /// Counts a connection that one router passes on to another one.
    pub fn record_relay(&self, event: RelayEvent) {
        self.relays
            .add(1, &[KeyValue::new("result", event.label())]);
    }

    /// Counts the time for which an attempt ran whose response was not needed.
    pub fn record_hedge_waste(&self, time: Duration) {
        self.hedge_waste.add(time.as_secs_f64(), &[]);
    }

    /// Sets how many bytes are kept for a use.
    pub fn record_memory(&self, used_for: MemoryUse, bytes: u64) {
        let label = KeyValue::new("use", used_for.label());
        self.memory.record(bytes, &[label]);
    }

    /// Sets whether a failure domain is evacuated.
    pub fn record_evacuation(&self, domain: &str, is_evacuated: bool) {
        let label = KeyValue::new("domain", domain.to_owned());
        self.evacuated.record(is_evacuated.into(), &[label]);
    }

    /// All series in the text exposition format of Prometheus.
    pub fn exposition(&self) -> String {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|error| {
            log::warn!(target: "observe", "can't encode the metrics: {error}");
            String::new()
        })
    }

    /// The label value of an organisation; those over the maximum share one.
    fn organisation_label(&self, name: &str) -> CompactString {
        let mut known = self.organisations.borrow_mut();
        match known.binary_search_by(|k| k.as_str().cmp(name)) {
            Ok(index) => known[index].clone(),
            Err(_) if known.len() >= self.max_organisations => OTHER_ORGANISATIONS.into(),
            Err(index) => {
                known.insert(index, name.into());
                name.into()
            }
        }
    }
}

fn create_provider(registry: &Registry) -> Option<SdkMeterProvider> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build();
    match exporter {
        Ok(exporter) => Some(SdkMeterProvider::builder().with_reader(exporter).build()),
        Err(error) => {
            log::warn!(target: "observe", "metrics are disabled: can't create the exporter: {error}");
            None
        }
    }
}

fn register_process_metrics(meter: &Meter) {
    meter
        .f64_observable_counter("process_cpu_seconds")
        .with_description("Processor time used.")
        .with_callback(|observer| observer.observe(cpu_seconds(), &[]))
        .build();
    meter
        .u64_observable_gauge("process_resident_memory_bytes")
        .with_description("Memory occupied.")
        .with_callback(|observer| observer.observe(resident_bytes(), &[]))
        .build();
}

fn register_traffic_metrics(meter: &Meter) {
    meter
        .u64_observable_counter("jaylock_control_sent_bytes")
        .with_description("Bytes sent to other instances and operators.")
        .with_callback(|observer| observer.observe(jaylock_rpc::traffic().sent, &[]))
        .build();
    meter
        .u64_observable_counter("jaylock_control_received_bytes")
        .with_description("Bytes received from other instances and operators.")
        .with_callback(|observer| observer.observe(jaylock_rpc::traffic().received, &[]))
        .build();
    meter
        .u64_observable_counter("jaylock_control_packets")
        .with_description("Writes to and reads from other instances and operators.")
        .with_callback(|observer| {
            let traffic = jaylock_rpc::traffic();
            observer.observe(traffic.flushes + traffic.reads, &[]);
        })
        .build();
}

fn kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Model => "model",
        RequestKind::Service => "service",
    }
}

fn run_label(run: RunStatus) -> &'static str {
    match run {
        RunStatus::NotRun => "not-run",
        RunStatus::Ran => "ran",
        RunStatus::Unknown => "unknown",
    }
}

fn status_class(status: u16) -> &'static str {
    match status {
        100..200 => "1xx",
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    }
}
