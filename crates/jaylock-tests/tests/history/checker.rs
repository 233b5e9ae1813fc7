use jaylock_standin::{
    Attempt, AttemptResult, CallerRequest, Outcome, RequestResult, RunRecord, RunStatus, sha256_hex,
};

/// Records of the callers and the backend servers.
#[derive(Debug, Default)]
pub struct History {
    /// The outcome of each errand, with the organisation that sent it.
    pub accounts: Vec<(&'static str, RequestResult)>,
    /// Runs of calls to plain services.
    pub calls: Vec<RunRecord>,
    /// Runs of requests to models.
    pub chats: Vec<RunRecord>,
}

/// Number of errands, attempts and runs in a history.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub errands: usize,
    pub served: usize,
    pub refused: usize,
    pub unknown: usize,
    pub gave_up: usize,
    pub attempts: usize,
    pub cut: usize,
    pub call_runs: usize,
    pub chat_runs: usize,
}

impl History {
    /// Descriptions of all violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (index, (organisation, account)) in self.accounts.iter().enumerate() {
            let violation = self.check_account(organisation, account);
            found.extend(violation.map(|broken| format!("errand {index}: {broken}: {account:?}")));
        }
        found.extend(self.repeated_runs());
        found
    }

    pub fn counts(&self) -> Counts {
        let count = |outcome| {
            let matching = self.accounts.iter().filter(|(_, a)| a.outcome == outcome);
            matching.count()
        };
        let attempts = || self.accounts.iter().flat_map(|(_, a)| &a.attempts);
        Counts {
            errands: self.accounts.len(),
            served: count(Outcome::Served),
            refused: count(Outcome::Refused),
            unknown: count(Outcome::Unknown),
            gave_up: count(Outcome::GaveUp),
            attempts: attempts().count(),
            cut: attempts()
                .filter(|a| matches!(a.result, AttemptResult::Interrupted(_)))
                .count(),
            call_runs: self.calls.len(),
            chat_runs: self.chats.len(),
        }
    }

    fn check_account(&self, organisation: &str, account: &RequestResult) -> Option<&'static str> {
        let runs = self.runs_of(organisation, &account.request);
        match account.outcome {
            Outcome::Wrong => return Some("a response that is not its own is complete"),
            Outcome::GaveUp if account.attempts.iter().any(is_aborted) => {
                return Some("lost without an explicit error");
            }
            Outcome::Served if runs == 0 => return Some("served without a run"),
            _ => {}
        }
        if runs > 0 && self.all_claimed_not_run(organisation, &account.request) {
            return Some("every refusal said not-run, but it ran");
        }
        let lacks_run_claim = |a: &Attempt| {
            a.run == RunStatus::Missing && matches!(a.result, AttemptResult::Refused { .. })
        };
        let has_no_claim = account.attempts.iter().any(lacks_run_claim);
        has_no_claim.then_some("a refusal does not say whether it ran")
    }

    /// Number of runs of an errand, found by key and body, or by prompt.
    fn runs_of(&self, organisation: &str, errand: &CallerRequest) -> usize {
        match errand {
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

    /// Whether every attempt of all callers with this errand got the reply that it did not run.
    fn all_claimed_not_run(&self, organisation: &str, errand: &CallerRequest) -> bool {
        let matching = self.accounts.iter();
        let matching = matching.filter(|(other, a)| *other == organisation && a.request == *errand);
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

/// Whether a response was cut off without an error, or never arrived on an open connection.
fn is_aborted(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::Interrupted(_))
}
