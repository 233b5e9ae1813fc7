use std::time::Duration;

use compact_str::CompactString;
use jaylock_types::Tokens;

use crate::{RequestKind, RequestRecord, RunStatus};

/// A kind of service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectiveKind {
    /// Requests get a complete response.
    Availability,
    /// The first token of a model's response arrives in time.
    FirstToken,
    /// Short requests get a slot in time.
    ShortWait,
    /// Long requests are completed in time.
    Completion,
}

impl ObjectiveKind {
    /// All kinds, in the order in which reports list them.
    pub const ALL: [Self; 4] = [
        Self::Availability,
        Self::FirstToken,
        Self::ShortWait,
        Self::Completion,
    ];

    /// Name in metrics, messages and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Availability => "availability",
            Self::FirstToken => "first_token",
            Self::ShortWait => "short_wait",
            Self::Completion => "completion",
        }
    }
}

/// An objective in the form used by reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objective {
    /// Name, as in [`ObjectiveKind::name`].
    pub name: CompactString,
    /// Share of requests that must be good, in parts per million.
    pub target_ppm: u32,
    /// Time within which a request is good; zero for an objective without a time.
    pub threshold: Duration,
}

/// The objectives that requests are evaluated against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objectives {
    /// Share of requests that must get a complete response, in parts per million.
    pub availability_ppm: u32,
    /// Longest time to the first token.
    pub first_token: Duration,
    /// Share of requests whose first token must arrive in time, in parts per million.
    pub first_token_ppm: u32,
    /// Longest wait of a short request for a slot.
    pub short_wait: Duration,
    /// Share of short requests that must get a slot in time, in parts per million.
    pub short_wait_ppm: u32,
    /// Longest time to the end of a long request.
    pub completion: Duration,
    /// Share of long requests that must be completed in time, in parts per million.
    pub completion_ppm: u32,
    /// Requests that generate at most this many tokens are short, the others are long.
    pub max_short_tokens: Tokens,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            availability_ppm: 999_000,
            first_token: Duration::from_secs(1),
            first_token_ppm: 950_000,
            short_wait: Duration::from_secs(1),
            short_wait_ppm: 990_000,
            completion: Duration::from_mins(10),
            completion_ppm: 990_000,
            max_short_tokens: Tokens(64),
        }
    }
}

/// Whether a request met an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectiveResult {
    /// Kind of the objective.
    pub kind: ObjectiveKind,
    /// Whether the request met the objective.
    pub is_good: bool,
    /// Time that the objective applies to.
    pub time: Duration,
}

/// Outcome of a request for the objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Served,
    Failed,
    /// Not counted: the request was rejected because of the caller, or the caller disconnected.
    Ignored,
}

impl Objectives {
    /// The objectives in the form used by reports, in the order of [`ObjectiveKind::ALL`].
    #[must_use]
    pub fn list(&self) -> Vec<Objective> {
        let all = ObjectiveKind::ALL.into_iter();
        all.map(|kind| self.get(kind)).collect()
    }

    fn get(&self, kind: ObjectiveKind) -> Objective {
        let (target_ppm, threshold) = match kind {
            ObjectiveKind::Availability => (self.availability_ppm, Duration::ZERO),
            ObjectiveKind::FirstToken => (self.first_token_ppm, self.first_token),
            ObjectiveKind::ShortWait => (self.short_wait_ppm, self.short_wait),
            ObjectiveKind::Completion => (self.completion_ppm, self.completion),
        };
        Objective {
            name: kind.name().into(),
            target_ppm,
            threshold,
        }
    }

    /// Evaluates a finished request against each objective that applies to the request.
    #[must_use]
    pub fn evaluate(&self, record: &RequestRecord) -> Vec<ObjectiveResult> {
        let outcome = outcome_of(record);
        if outcome == Outcome::Ignored {
            return Vec::new();
        }
        let is_served = outcome == Outcome::Served;
        let mut results = vec![ObjectiveResult {
            kind: ObjectiveKind::Availability,
            is_good: is_served,
            time: record.total_time,
        }];
        if record.kind == RequestKind::Service {
            return results;
        }
        let first = record.first_token_time;
        results.push(ObjectiveResult {
            kind: ObjectiveKind::FirstToken,
            is_good: first.is_some_and(|time| time <= self.first_token),
            time: first.unwrap_or(record.total_time),
        });
        if record.tokens > self.max_short_tokens {
            results.push(ObjectiveResult {
                kind: ObjectiveKind::Completion,
                is_good: is_served && record.total_time <= self.completion,
                time: record.total_time,
            });
        } else if is_served {
            // A failed request might have become a long one, so the wait is not evaluated.
            results.push(ObjectiveResult {
                kind: ObjectiveKind::ShortWait,
                is_good: record.wait_time <= self.short_wait,
                time: record.wait_time,
            });
        }
        results
    }
}

fn outcome_of(record: &RequestRecord) -> Outcome {
    if record.is_complete && record.status < 500 {
        return Outcome::Served;
    }
    match record.status {
        // An unknown run status is not the fault of the caller.
        400..500 if record.run != RunStatus::Unknown || record.status == 499 => Outcome::Ignored,
        _ => Outcome::Failed,
    }
}
