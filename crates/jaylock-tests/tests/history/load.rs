use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use compio::runtime::Runtime;
use futures_util::future::{join, join_all};
use jaylock_standin::{Caller, CallerRequest, CallerSettings, RequestResult};
use jaylock_tests::{Fleet, ORGANISATIONS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checker::History;

/// Settings of the load from concurrent callers.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Seed of the requests.
    pub seed: u64,
    /// Words that cause a fault at a backend server when a request contains them.
    pub faults: &'static [&'static str],
    /// Time limit for a request with all its attempts.
    pub request_timeout: Duration,
    /// Duration of a call at a plain service.
    pub call_duration_ms: u32,
    /// Length of the long responses, in chunks.
    pub long_chunks: u32,
    /// Whether instances are connected by proxies that can drop their connections.
    pub has_proxies: bool,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            callers: 12,
            seed: 1,
            faults: &[],
            request_timeout: Duration::from_secs(25),
            call_duration_ms: 15,
            long_chunks: 60,
            has_proxies: false,
        }
    }
}

/// The result of a request, with the organisation that sent it.
pub type CallerResult = (&'static str, RequestResult);

/// Concurrent callers that send requests until they are stopped.
pub struct Load {
    settings: LoadSettings,
    seeds: Vec<SocketAddr>,
    is_stopped: AtomicBool,
}

/// A load that runs in its own thread.
pub struct RunningLoad {
    load: Arc<Load>,
    thread: JoinHandle<Vec<CallerResult>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(fleet: &Fleet, settings: LoadSettings) -> RunningLoad {
        let load = Arc::new(Self {
            seeds: fleet.caller_addresses(),
            is_stopped: AtomicBool::new(false),
            settings,
        });
        let shared = load.clone();
        let run = move || {
            let callers =
                (0..shared.settings.callers).map(|caller_index| shared.run_caller(caller_index));
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(join_all(callers)).concat()
        };
        let thread = thread::spawn(run);
        RunningLoad { load, thread }
    }

    async fn run_caller(&self, caller_index: usize) -> Vec<CallerResult> {
        // The last organisation is reserved for floods.
        let organisation = ORGANISATIONS[caller_index % (ORGANISATIONS.len() - 1)];
        let mut rng = SmallRng::seed_from_u64(self.settings.seed ^ (caller_index as u64) << 32);
        let (one, other) = (
            self.caller(organisation, caller_index),
            self.caller(organisation, caller_index + 1),
        );
        let mut results = Vec::new();
        for number in 0.. {
            if self.is_stopped.load(Ordering::Relaxed) {
                break;
            }
            let request = self.request(&mut rng, caller_index, number);
            let is_call = matches!(request, CallerRequest::Call { .. });
            if is_call && rng.random_bool(0.3) {
                let (first, second) = join(one.run(request.clone()), other.run(request)).await;
                results.extend([(organisation, first), (organisation, second)]);
            } else {
                results.push((organisation, one.run(request).await));
            }
            compio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
        }
        results
    }

    fn caller(&self, organisation: &str, first: usize) -> Caller {
        Caller::new(CallerSettings {
            seeds: self.seeds.clone(),
            key: format!("{organisation}-key"),
            first_address: first,
            request_timeout: self.settings.request_timeout,
            idle_timeout: Duration::from_secs(8),
            max_retry_pause: Duration::from_millis(500),
        })
    }

    fn request(&self, rng: &mut SmallRng, caller_index: usize, number: u32) -> CallerRequest {
        let name = format!("{}-{caller_index}-{number}", self.settings.seed);
        let fault = match self.settings.faults {
            [] => "",
            words if rng.random_bool(0.3) => words[rng.random_range(0..words.len())],
            _ => "",
        };
        if rng.random_bool(0.4) {
            return CallerRequest::Call {
                service: "caseapp".into(),
                path: format!("/refunds/{name}"),
                body: format!("refund {name} {fault}"),
                key: name,
            };
        }
        let is_long = rng.random_bool(0.2);
        let length = if is_long {
            self.settings.long_chunks
        } else {
            6
        };
        CallerRequest::Chat {
            model: "dossier".into(),
            prompt: format!("request {name} len={length} {fault}"),
            stream: rng.random_bool(0.6),
        }
    }
}

impl RunningLoad {
    /// Waits until each caller has finished its request, and returns the history.
    pub fn stop(self, fleet: &Fleet) -> History {
        self.load.is_stopped.store(true, Ordering::Relaxed);
        let results = self.thread.join().expect("callers don't panic");
        history(fleet, results)
    }
}

/// Adds the runs recorded by the backend servers to the results of the callers.
fn history(fleet: &Fleet, results: Vec<CallerResult>) -> History {
    let read_runs = |file| {
        let lines = fleet.run_log(file).into_iter();
        lines
            .map(|line| serde_json::from_str(&line).expect("a complete line"))
            .collect()
    };
    History {
        calls: read_runs("calls"),
        chats: read_runs("chats"),
        results,
    }
}
