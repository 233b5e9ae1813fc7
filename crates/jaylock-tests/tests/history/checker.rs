use jaylock_standin::{
    Attempt, AttemptResult, CallerRequest, Outcome, RequestResult, RunRecord, RunStatus, sha256_hex,
};

/// Records of the callers and the backend servers.
#[derive(Debug, Default)]
pub struct History {
    /// The result of each request, with the organisation that sent it.
    pub results: Vec<(&'static str, RequestResult)>,
    /// Runs of calls to plain services.
    pub calls: Vec<RunRecord>,
    /// Runs of requests to models.
    pub chats: Vec<RunRecord>,
}

/// Number of requests, attempts and runs in a history.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub unknown: usize,
    pub gave_up: usize,
    pub attempts: usize,
    pub interrupted: usize,
    pub call_runs: usize,
    pub chat_runs: usize,
}

impl History {
    /// Descriptions of all violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (index, (organisation, result)) in self.results.iter().enumerate() {
            let violation = self.check_result(organisation, result);
            found.extend(violation.map(|broken| format!("request {index}: {broken}: {result:?}")));
        }
        found.extend(self.repeated_runs());
        found
    }

    pub fn counts(&self) -> Counts {
        let count = |outcome| {
            let matching = self.results.iter().filter(|(_, a)| a.outcome == outcome);
            matching.count()
        };
        let attempts = || self.results.iter().flat_map(|(_, a)| &a.attempts);
        Counts {
            requests: self.results.len(),
            served: count(Outcome::Served),
            refused: count(Outcome::Refused),
            unknown: count(Outcome::Unknown),
            gave_up: count(Outcome::GaveUp),
            attempts: attempts().count(),
            interrupted: attempts()
                .filter(|a| matches!(a.result, AttemptResult::Interrupted(_)))
                .count(),
            call_runs: self.calls.len(),
            chat_runs: self.chats.len(),
        }
    }

    fn check_result(&self, organisation: &str, result: &RequestResult) -> Option<&'static str> {
        let runs = self.runs_of(organisation, &result.request);
        match result.outcome {
            Outcome::Wrong => return Some("a complete response is not the expected one"),
            Outcome::GaveUp if result.attempts.iter().any(is_interrupted) => {
                return Some("the request was lost without an explicit error");
            }
            Outcome::Served if runs == 0 => return Some("served without a run"),
            _ => {}
        }
        if runs > 0 && self.all_reported_not_run(organisation, &result.request) {
            return Some("every refusal reported not-run, but the request ran");
        }
        let lacks_run_status = |a: &Attempt| {
            a.run == RunStatus::Missing && matches!(a.result, AttemptResult::Refused { .. })
        };
        let has_no_status = result.attempts.iter().any(lacks_run_status);
        has_no_status.then_some("a refusal has no run status")
    }

    /// Number of runs of a request, found by key and body, or by prompt.
    fn runs_of(&self, organisation: &str, request: &CallerRequest) -> usize {
        match request {
            CallerRequest::Call { key, body, .. } => {
                let hash = sha256_hex(body.as_bytes());
                let matching = self.calls.iter().filter(|run| {
                    run.key == *key && run.organisation == organisation && run.digest == hash
                });
                matching.count()
            }
            CallerRequest::Chat { prompt, .. } => {
                let hash = sha256_hex(prompt.as_bytes());
                self.chats.iter().filter(|run| run.digest == hash).count()
            }
        }
    }

    /// Whether every attempt of all callers with this request was reported as not run.
    fn all_reported_not_run(&self, organisation: &str, request: &CallerRequest) -> bool {
        let matching = self.results.iter();
        let matching =
            matching.filter(|(other, a)| *other == organisation && a.request == *request);
        let mut attempts = matching.flat_map(|(_, a)| &a.attempts);
        attempts.all(|a| a.run == RunStatus::NotRun)
    }

    fn repeated_runs(&self) -> Vec<String> {
        let mut keys: Vec<(&str, &str)> = self.calls.iter().map(run_key).collect();
        keys.sort_unstable();
        let repeated = keys.windows(2).filter(|pair| pair[0] == pair[1]);
        repeated
            .map(|pair| format!("key {:?} ran more than once", pair[0]))
            .collect()
    }
}

fn run_key(run: &RunRecord) -> (&str, &str) {
    (&run.organisation, &run.key)
}

/// Whether a response was interrupted without an error, or never arrived on an open connection.
fn is_interrupted(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::Interrupted(_))
}
