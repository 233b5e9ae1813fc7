use std::time::{Duration, Instant};

use bytes::Bytes;
use http::HeaderValue;
use http::request::Parts;
use jaylock_rpc::v1::{Ask, Route};
use jaylock_types::{OrganisationId, PoolId, RequestId};

use super::prompt::Prompt;
use crate::memory::BodyReservation;

/// Least silence after which a prompt is sent to another engine.
const PROMPT_SILENCE: Duration = Duration::from_secs(2);
/// Least silence after which another request is sent to another backend server.
const SERVICE_SILENCE: Duration = Duration::from_millis(500);
/// Objectives that an answer may be late before its attempt is given up for another one.
const SILENT_OBJECTIVES: u32 = 2;

/// An admitted request for a route.
pub struct RouteRequest {
    /// Names the request in notes.
    pub id: RequestId,
    /// The identifier as its caller wrote it.
    pub attempt: HeaderValue,
    /// Where it goes.
    pub route: Route,
    /// The pool of its service.
    pub pool: PoolId,
    /// Organisation that it counts for.
    pub organisation: OrganisationId,
    /// Whether a key named the organisation.
    pub is_keyed: bool,
    /// When its head arrived.
    pub arrived: Instant,
    /// When its caller or the route stops waiting.
    pub deadline: Instant,
    /// Method, path and header fields.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// The room that it takes, until the request has ended.
    pub _room: BodyReservation,
    /// What it tells of its prompt.
    pub prompt: Option<Prompt>,
    /// Tokens in one event of its stream.
    pub event_tokens: u32,
    /// Number of the last event that the caller has.
    pub after: u64,
}

impl RouteRequest {
    /// What is left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Silence after which an attempt is given up for another one.
    ///
    /// Prompts may have long ones before them, so their answers begin late where many are read.
    pub fn silence(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms.into());
        let least = match self.prompt {
            Some(_) => PROMPT_SILENCE,
            None => SERVICE_SILENCE,
        };
        least.max(objective * SILENT_OBJECTIVES)
    }

    /// What the scheduler is asked, without what changes with each attempt.
    pub fn ask(&self) -> Ask {
        let prompt = self.prompt.as_ref();
        Ask {
            organisation: self.organisation.to_string(),
            model: prompt.map_or_else(String::new, |p| p.model.to_string()),
            limit: prompt.map_or(0, |p| p.written),
            prompt_tokens: prompt.map_or(0, |p| p.read),
            parts: prompt.map_or_else(Vec::new, |p| p.parts.clone()),
            request: self.id.to_string(),
            objective_ms: self.route.objective_ms,
            ..Ask::default()
        }
    }

    /// Service in tokens after some events: each token read counts once, each generated twice.
    pub fn served(&self, events: u64) -> u64 {
        let read = self.prompt.as_ref().map_or(0, |p| p.read);
        u64::from(read) + 2 * events * u64::from(self.event_tokens.max(1))
    }
}
