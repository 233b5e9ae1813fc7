use std::hash::Hasher;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::HeaderValue;
use http::request::Parts;
use jaylock_rpc::v1::route::Kind;
use jaylock_rpc::v1::{Ask, Route};
use jaylock_types::{Fnv, OrganisationId, PoolId, RequestId, StreamId};

use super::prompt::Prompt;
use crate::memory::BodyReservation;
use crate::overload::RequestPermit;
use crate::server::Relayed;

/// Shortest time without a response head after which a prompt is sent to another engine.
const MIN_PROMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest time without a response head after which any other request is sent to another backend server.
const MIN_SERVICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Multiple of the route's objective after which an attempt without a response head is given up.
const OBJECTIVE_TIMEOUT_FACTOR: u32 = 2;

/// An admitted request for a route.
pub struct RouteRequest {
    /// Identifier in logs and traces.
    pub id: RequestId,
    /// Identifier as the caller sent it.
    pub caller_id: HeaderValue,
    /// Route of the request.
    pub route: Route,
    /// Service to which the request is sent.
    pub target: ServiceTarget,
    /// Other services of the route, one of which may have begun a stream that this request takes up.
    pub other_targets: Vec<ServiceTarget>,
    /// Organisation of the caller, or the public one.
    pub organisation: OrganisationId,
    /// Whether the organisation was identified by a key.
    pub is_authenticated: bool,
    /// When the head of the request arrived.
    pub arrived_at: Instant,
    /// When the caller or the route stops waiting.
    pub deadline: Instant,
    /// Method, path and headers.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Hash of the organisation, the method, the path and the body.
    pub digest: u64,
    /// Memory reserved for the body until the request has ended.
    pub _reservation: BodyReservation,
    /// Place among the requests in progress until the request has ended.
    pub _permit: RequestPermit,
    /// Description of the prompt, if the caller sent one.
    pub prompt: Option<Prompt>,
    /// Hashes of what else the request shares with others, as it may crash backend servers.
    pub further_causes: Vec<u64>,
    /// Number of the last event that the caller received before; unset if it has none.
    pub last_event: Option<u64>,
    /// Identifier of the request that brought the first event of a stream that this request resumes.
    pub resumed: Option<RequestId>,
}

/// A service that may serve a request.
pub struct ServiceTarget {
    /// Pool of the service.
    pub pool: PoolId,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
}

impl RouteRequest {
    /// Pool of the service to which the request is sent.
    pub fn pool(&self) -> &PoolId {
        &self.target.pool
    }

    /// Whether another router passes the request on.
    pub fn is_relayed(&self) -> bool {
        self.head.extensions.get::<Relayed>().is_some()
    }

    /// Goes on with another service of the route; returns false if none is left.
    pub fn use_next_target(&mut self) -> bool {
        let next = self.other_targets.pop();
        let has_next = next.is_some();
        if let Some(next) = next {
            self.target = next;
        }
        has_next
    }

    /// Time remaining until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time without a response head after which an attempt is given up for another one.
    ///
    /// Prompts get more time, as an engine may first process other long prompts.
    pub fn attempt_timeout(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms.into());
        let min = match self.prompt {
            Some(_) => MIN_PROMPT_TIMEOUT,
            None => MIN_SERVICE_TIMEOUT,
        };
        min.max(objective * OBJECTIVE_TIMEOUT_FACTOR)
    }

    /// Slot request to the scheduler, without the fields that change with each attempt.
    pub fn slot_request(&self) -> Ask {
        let prompt = self.prompt.as_ref();
        let begun_stream = self.begun_stream();
        Ask {
            organisation: self.organisation.to_string(),
            model: prompt.map_or_else(String::new, |p| p.model.to_string()),
            limit: prompt.map_or(0, |p| p.max_tokens),
            prompt_tokens: prompt.map_or(0, |p| p.input_tokens),
            parts: prompt.map_or_else(Vec::new, |p| p.parts.clone()),
            further_causes: self.further_causes.clone(),
            request: self.id.to_string(),
            objective_ms: self.route.objective_ms,
            digest: self.digest,
            begun_stream: begun_stream.map(|stream| stream.0),
            may_be_elsewhere: begun_stream.is_some() && self.has_several_targets(),
            ..Ask::default()
        }
    }

    /// Whether the route divides its requests between services.
    fn has_several_targets(&self) -> bool {
        let targets = self.route.targets.iter();
        targets.filter(|target| target.weight > 0).count() > 1
    }

    /// The stream that this request takes up, if its caller received a part of it before.
    fn begun_stream(&self) -> Option<StreamId> {
        let is_resumed = self.last_event.is_some() || self.resumed.is_some();
        if self.route.kind() != Kind::Stream || !is_resumed {
            return None;
        }
        let begun_by = self.resumed.as_ref();
        let stream = |id: &RequestId| StreamId::new(self.organisation.as_str(), id.as_str());
        Some(begun_by.map_or(StreamId::UNNAMED, stream))
    }

    /// Hash by which a request is recognised if it is sent again.
    pub fn hash(organisation: &OrganisationId, head: &Parts, body: &[u8]) -> u64 {
        let mut hasher = Fnv::default();
        let target = head
            .uri
            .path_and_query()
            .map_or("", |target| target.as_str());
        for text in [organisation.as_str(), head.method.as_str(), target] {
            hasher.write(text.as_bytes());
            hasher.write_u8(0);
        }
        hasher.write(body);
        hasher.finish()
    }

    /// Service in tokens after `events`: prompt tokens count once, generated tokens twice.
    pub fn service_tokens(&self, events: u64) -> u64 {
        let input_tokens = self.prompt.as_ref().map_or(0, |p| p.input_tokens);
        u64::from(input_tokens) + 2 * events * u64::from(self.target.event_tokens.max(1))
    }
}
