use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jaylock_tests::fleet::{HttpResponse, send_raw_within};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::draft::{Draft, KEYS, ROUTES};
use super::world::{Counts, World};
use crate::harness::{Caller, KEY};

/// Time in which an acknowledged document takes effect.
pub const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after which a removed key is refused everywhere.
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two reads or requests.
const PAUSE: Duration = Duration::from_millis(50);
/// A route that no document has.
const NO_ROUTE: &str = "/nowhere/";
/// A key that no document has.
const NO_KEY: &str = "key-of-nobody";

/// Reads the document at random instances and checks it.
pub fn read_documents(world: &World, mut rng: SmallRng) {
    while !world.is_over() {
        let control = *world.controls.choose(&mut rng).expect("an instance");
        let sent_at = Instant::now();
        if let Some(text) = read_document(control) {
            Counts::add(&world.counts.reads);
            check_read(world, control, sent_at, &text);
        }
        thread::sleep(PAUSE);
    }
}

/// Reads the document at an instance; `None` without a complete response.
pub fn read_document(control: SocketAddr) -> Option<String> {
    let text = format!("GET /-/config HTTP/1.1\r\nHost: {control}\r\nConnection: close\r\n\r\n");
    let answer = send_raw_within(control, text.as_bytes(), READ_TIMEOUT).ok()?;
    let HttpResponse { status, body, .. } = &answer;
    let length = answer.header("content-length")?.parse().ok();
    (*status == 200 && length == Some(body.len())).then(|| body.clone())
}

fn check_read(world: &World, control: SocketAddr, sent_at: Instant, text: &str) {
    let value: Option<serde_json::Value> = serde_json::from_str(text).ok();
    let version = value.and_then(|v| v["version"].as_u64());
    let ledger = world.ledger();
    let problem = match version.map(|v| (v, ledger.find(v))) {
        None => Some("no document".into()),
        Some((version, None)) => Some(format!("version {version}, which was not sent or invalid")),
        Some((version, Some(sent))) if sent.text != text => {
            Some(format!("other content as version {version}"))
        }
        Some((version, Some(_))) => {
            let newest = ledger.acknowledged_before(sent_at, APPLY_TIME);
            let newest = newest.filter(|newest| *newest > version);
            newest.map(|newest| format!("version {version} after {newest}"))
        }
    };
    drop(ledger);
    if let Some(problem) = problem {
        world.report(format!("{control} reads {problem}"));
    }
}

/// Sends requests with routes and keys that come and go to a router and checks the responses.
pub fn send_requests(world: &World, router: SocketAddr, mut rng: SmallRng) {
    while !world.is_over() {
        let request = Request::draw(&mut rng);
        let sent_at = Instant::now();
        let status = request.send(router);
        Counts::add(&world.counts.requests);
        if status == 200 {
            Counts::add(&world.counts.served);
        }
        if let Some(problem) = request.check(world, sent_at, status) {
            let Request { route, key } = request;
            world.report(format!(
                "{router} answers {status} for {route} with {key}: {problem}"
            ));
        }
        thread::sleep(PAUSE);
    }
}

/// A request for a route with a key.
pub struct Request {
    pub route: &'static str,
    pub key: &'static str,
}

impl Request {
    fn draw(rng: &mut SmallRng) -> Self {
        let mut request = Self {
            route: "/look/",
            key: KEY,
        };
        match rng.random_range(0..10) {
            0 => request.route = NO_ROUTE,
            1 => request.key = NO_KEY,
            2..=4 => request.key = KEYS.choose(rng).expect("a key"),
            5..=8 => request.route = ROUTES.choose(rng).expect("a route"),
            _ => {}
        }
        request
    }

    /// Sends the request and returns the status, or 0 without a response.
    pub fn send(&self, router: SocketAddr) -> u16 {
        let Self { route, key } = self;
        let path = format!("{route}1");
        let caller = Caller::new(router).request("GET", &path).with("Key", key);
        let response = caller.try_send_within(REQUEST_TIMEOUT);
        response.map_or(0, |response| response.status())
    }

    /// Returns what is wrong with the response.
    fn check(&self, world: &World, sent_at: Instant, status: u16) -> Option<&'static str> {
        let ledger = world.ledger();
        let allows = |draft: &Draft| self.allows(draft, status);
        if !ledger.drafts().any(allows) {
            return Some("no document allows it");
        }
        let is_revoked = |draft: &&Draft| !draft.has_key(self.key);
        let candidates = ledger.candidates(sent_at, REVOKE_TIME)?;
        if status == 200 && candidates.iter().all(is_revoked) {
            return Some("the key was removed");
        }
        if !world.is_in_touch(sent_at) {
            return None;
        }
        Counts::add(&world.counts.calm_requests);
        let candidates = ledger.candidates(sent_at, APPLY_TIME)?;
        let is_allowed = candidates.into_iter().any(allows);
        (!is_allowed).then_some("no document in force allows it")
    }

    /// Whether a document allows a response with this status.
    fn allows(&self, draft: &Draft, status: u16) -> bool {
        match status {
            200 => draft.has_route(self.route) && draft.has_key(self.key),
            401 => !draft.has_key(self.key),
            404 => !draft.has_route(self.route),
            403 => false,
            _ => true,
        }
    }
}
