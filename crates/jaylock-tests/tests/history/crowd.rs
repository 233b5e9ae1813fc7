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

/// Settings of concurrent callers.
#[derive(Debug, Clone)]
pub struct CrowdSettings {
    /// Callers at once.
    pub lanes: usize,
    /// Seed of what they ask for.
    pub seed: u64,
    /// Words that may stand in a text to bring about a fault at a backend server.
    pub faults: &'static [&'static str],
    /// Time for an errand with all its tries.
    pub patience: Duration,
    /// Time that a plain service takes for a call, in ms.
    pub call_ms: u32,
    /// Pieces of the longest answers.
    pub longest: u32,
    /// Whether instances reach each other through forwarders that can cut.
    pub has_proxies: bool,
}

impl Default for CrowdSettings {
    fn default() -> Self {
        Self {
            lanes: 12,
            seed: 1,
            faults: &[],
            patience: Duration::from_secs(25),
            call_ms: 15,
            longest: 60,
            has_proxies: false,
        }
    }
}

/// An errand and the organisation that sent it.
pub type Sent = (&'static str, RequestResult);

/// Callers that go on until they are told to stop.
pub struct Crowd {
    settings: CrowdSettings,
    seeds: Vec<SocketAddr>,
    is_over: AtomicBool,
}

/// A crowd that runs in a thread of its own.
pub struct RunningCrowd {
    crowd: Arc<Crowd>,
    thread: JoinHandle<Vec<Sent>>,
}

impl Crowd {
    /// Starts the callers.
    pub fn start(fleet: &Fleet, settings: CrowdSettings) -> RunningCrowd {
        let crowd = Arc::new(Self {
            seeds: fleet.caller_addresses(),
            is_over: AtomicBool::new(false),
            settings,
        });
        let shared = crowd.clone();
        let run = move || {
            let lanes = (0..shared.settings.lanes).map(|lane| shared.lane(lane));
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(join_all(lanes)).concat()
        };
        let thread = thread::spawn(run);
        RunningCrowd { crowd, thread }
    }

    async fn lane(&self, lane: usize) -> Vec<Sent> {
        // The last organisation is for floods.
        let organisation = ORGANISATIONS[lane % (ORGANISATIONS.len() - 1)];
        let mut rng = SmallRng::seed_from_u64(self.settings.seed ^ (lane as u64) << 32);
        let (one, other) = (
            self.caller(organisation, lane),
            self.caller(organisation, lane + 1),
        );
        let mut accounts = Vec::new();
        for number in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                break;
            }
            let errand = self.errand(&mut rng, lane, number);
            let is_call = matches!(errand, CallerRequest::Call { .. });
            if is_call && rng.random_bool(0.3) {
                let (first, second) = join(one.run(errand.clone()), other.run(errand)).await;
                accounts.extend([(organisation, first), (organisation, second)]);
            } else {
                accounts.push((organisation, one.run(errand).await));
            }
            compio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
        }
        accounts
    }

    fn caller(&self, organisation: &str, first: usize) -> Caller {
        Caller::new(CallerSettings {
            seeds: self.seeds.clone(),
            key: format!("{organisation}-key"),
            first_address: first,
            request_timeout: self.settings.patience,
            idle_timeout: Duration::from_secs(8),
            max_retry_pause: Duration::from_millis(500),
        })
    }

    fn errand(&self, rng: &mut SmallRng, lane: usize, number: u32) -> CallerRequest {
        let name = format!("{}-{lane}-{number}", self.settings.seed);
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
        let length = if is_long { self.settings.longest } else { 6 };
        CallerRequest::Chat {
            model: "dossier".into(),
            prompt: format!("request {name} len={length} {fault}"),
            stream: rng.random_bool(0.6),
        }
    }
}

impl RunningCrowd {
    /// Lets each caller finish its errand, and gives all that was noted.
    pub fn stop(self, fleet: &Fleet) -> History {
        self.crowd.is_over.store(true, Ordering::Relaxed);
        let accounts = self.thread.join().expect("no caller panics");
        history(fleet, accounts)
    }
}

/// Reads what the backend servers wrote down.
fn history(fleet: &Fleet, accounts: Vec<Sent>) -> History {
    let notes = |file| {
        let lines = fleet.run_log(file).into_iter();
        lines
            .map(|line| serde_json::from_str(&line).expect("a whole line"))
            .collect()
    };
    History {
        calls: notes("calls"),
        chats: notes("chats"),
        accounts,
    }
}
