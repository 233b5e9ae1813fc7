use std::time::Duration;

use compact_str::CompactString;
use jaylock_types::Tokens;

use crate::{RequestKind, RequestRecord, RunStatus};

/// What is promised to an organisation's callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectiveKind {
    /// Requests end with a whole answer.
    Availability,
    /// The first token of a model's answer comes in time.
    FirstToken,
    /// Short look-ups get a slot in time.
    ShortWait,
    /// Long work ends whole and in time.
    Completion,
}

impl ObjectiveKind {
    /// All kinds, in the order of reports.
    pub const ALL: [Self; 4] = [
        Self::Availability,
        Self::FirstToken,
        Self::ShortWait,
        Self::Completion,
    ];

    /// The name in metrics, messages and reports.
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

/// One objective, as reports need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objective {
    /// Name, as in [`ObjectiveKind::name`].
    pub name: CompactString,
    /// Share of requests that must be good, in millionths.
    pub target_ppm: u32,
    /// Time within which a request is good; zero where time plays no part.
    pub threshold: Duration,
}

/// The objectives that requests are held against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objectives {
    /// Share of requests that end with a whole answer, in millionths.
    pub availability_ppm: u32,
    /// Time to the first token.
    pub first_token: Duration,
    /// Share of requests whose first token comes in time, in millionths.
    pub first_token_ppm: u32,
    /// Wait of short look-ups for a slot.
    pub short_wait: Duration,
    /// Share of short look-ups that get a slot in time, in millionths.
    pub short_wait_ppm: u32,
    /// Time to the end of long work.
    pub completion: Duration,
    /// Share of long work that ends whole and in time, in millionths.
    pub completion_ppm: u32,
    /// Answers with at most this many tokens are short look-ups; the others are long work.
    pub short_tokens: Tokens,
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
            short_tokens: Tokens(64),
        }
    }
}

/// What a request says about one objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Judgement {
    /// Which objective.
    pub kind: ObjectiveKind,
    /// Whether the request kept it.
    pub is_good: bool,
    /// The time that counts for it.
    pub time: Duration,
}

/// Whose doing the end of a request was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Failed,
    /// The caller's own doing: refused by its own fault, or it hung up.
    Excluded,
}

impl Objectives {
    /// The objectives as reports need them.
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

    /// Holds a finished request against each objective that it says something about.
    #[must_use]
    pub fn judge(&self, record: &RequestRecord) -> Vec<Judgement> {
        let end = end_of(record);
        if end == End::Excluded {
            return Vec::new();
        }
        let is_served = end == End::Served;
        let mut judgements = vec![Judgement {
            kind: ObjectiveKind::Availability,
            is_good: is_served,
            time: record.total_time,
        }];
        if record.kind == RequestKind::Service {
            return judgements;
        }
        let first = record.first_token_time;
        judgements.push(Judgement {
            kind: ObjectiveKind::FirstToken,
            is_good: first.is_some_and(|time| time <= self.first_token),
            time: first.unwrap_or(record.total_time),
        });
        if record.tokens > self.short_tokens {
            judgements.push(Judgement {
                kind: ObjectiveKind::Completion,
                is_good: is_served && record.total_time <= self.completion,
                time: record.total_time,
            });
        } else if is_served {
            // How long a failed answer would have been is not known, so it counts above only.
            judgements.push(Judgement {
                kind: ObjectiveKind::ShortWait,
                is_good: record.wait_time <= self.short_wait,
                time: record.wait_time,
            });
        }
        judgements
    }
}

fn end_of(record: &RequestRecord) -> End {
    if record.is_complete && record.status < 500 {
        return End::Served;
    }
    match record.status {
        // An outcome that nobody knows is no fault of the caller.
        400..500 if record.run != RunStatus::Unknown || record.status == 499 => End::Excluded,
        _ => End::Failed,
    }
}
