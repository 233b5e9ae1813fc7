use jaylock_standin::{
    Attempt, AttemptResult, CallerRequest, Outcome, RequestResult, RunRecord, RunStatus, sha256_hex,
};

/// All that callers and backend servers noted.
#[derive(Debug, Default)]
pub struct History {
    /// What became of each errand, with the organisation that sent it.
    pub accounts: Vec<(&'static str, RequestResult)>,
    /// Runs of calls.
    pub calls: Vec<RunRecord>,
    /// Runs of requests for a model.
    pub chats: Vec<RunRecord>,
}

/// Counts of a history, for its figures.
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
    /// Everything that breaks a promise, one sentence each.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (place, (organisation, account)) in self.accounts.iter().enumerate() {
            let check = self.check(organisation, account);
            found.extend(check.map(|broken| format!("errand {place}: {broken}: {account:?}")));
        }
        found.extend(self.repeated_runs());
        found
    }

    pub fn counts(&self) -> Counts {
        let count = |outcome| {
            let own = self.accounts.iter().filter(|(_, a)| a.outcome == outcome);
            own.count()
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

    fn check(&self, organisation: &str, account: &RequestResult) -> Option<&'static str> {
        let runs = self.runs_of(organisation, &account.request);
        match account.outcome {
            Outcome::Wrong => return Some("an answer that is not its own came as whole"),
            Outcome::GaveUp if account.attempts.iter().any(is_lost) => {
                return Some("lost without an explicit error");
            }
            Outcome::Served if runs == 0 => return Some("served without a run"),
            _ => {}
        }
        if runs > 0 && self.all_not_run(organisation, &account.request) {
            return Some("every refusal said not-run, but it ran");
        }
        let is_silent = |a: &Attempt| {
            a.run == RunStatus::Missing && matches!(a.result, AttemptResult::Refused { .. })
        };
        let silent = account.attempts.iter().any(is_silent);
        silent.then_some("a refusal does not say whether it ran")
    }

    /// Runs of exactly this errand: the same key and body, or the same prompt.
    fn runs_of(&self, organisation: &str, errand: &CallerRequest) -> usize {
        match errand {
            CallerRequest::Call { key, body, .. } => {
                let hash = sha256_hex(body.as_bytes());
                let own = self.calls.iter().filter(|run| {
                    run.key == *key && run.organisation == organisation && run.digest == hash
                });
                own.count()
            }
            CallerRequest::Chat { prompt, .. } => {
                let hash = sha256_hex(prompt.as_bytes());
                self.chats.iter().filter(|run| run.digest == hash).count()
            }
        }
    }

    /// Whether all tries of all callers with this errand were told that it did not run.
    fn all_not_run(&self, organisation: &str, errand: &CallerRequest) -> bool {
        let own = self.accounts.iter();
        let own = own.filter(|(other, a)| *other == organisation && a.request == *errand);
        let mut attempts = own.flat_map(|(_, a)| &a.attempts);
        attempts.all(|a| a.run == RunStatus::NotRun)
    }

    fn repeated_runs(&self) -> Vec<String> {
        let mut keys: Vec<(&str, &str)> = self.calls.iter().map(key_of).collect();
        keys.sort_unstable();
        let twice = keys.windows(2).filter(|pair| pair[0] == pair[1]);
        twice
            .map(|pair| format!("key {:?} ran more than once", pair[0]))
            .collect()
    }
}

fn key_of(run: &RunRecord) -> (&str, &str) {
    (&run.organisation, &run.key)
}

/// Whether an answer began and ended without a word, or never came though a connection was open.
fn is_lost(attempt: &Attempt) -> bool {
    matches!(attempt.result, AttemptResult::Interrupted(_))
}
