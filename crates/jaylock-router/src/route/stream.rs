use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use compact_str::format_compact;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jaylock_observe::Run;
use jaylock_rpc::v1::end::Outcome;
use jaylock_types::Tokens;

use super::answer::{passed, whole};
use super::attempts::Attempts;
use super::context::RouteContext;
use super::request::RouteRequest;
use super::send::{Destination, send};
use crate::answer::Refusal;
use crate::body::{self, Body, Interrupted};
use crate::connection::Link;
use crate::event::EventParser;
use crate::failure::{Failure, silence_limit};
use crate::record::Record;
use crate::slot::Slot;

/// Longest event, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Answers a request with a stream of events, each passed on as soon as it is whole.
pub async fn answer(
    context: Rc<RouteContext>,
    request: RouteRequest,
) -> Result<Response<Body>, Refusal> {
    let mut events = Events::new(Attempts::new(context, request));
    match events.open().await {
        Ok(Opening::Stream(status, headers, first)) => {
            let parts = stream::unfold((Some(first), events), pass).boxed_local();
            Ok(passed(status, &headers, Body::Fallible(parts)))
        }
        Ok(Opening::Whole(record)) => {
            events.attempts.account.answered(record.status, Run::Ran);
            Ok(whole(record))
        }
        Err(refusal) => {
            let account = &mut events.attempts.account;
            account.refused(&refusal);
            Err(refusal)
        }
    }
}

/// The next part of an answer, and what makes the parts after it.
async fn pass(
    (first, mut events): (Option<Bytes>, Events),
) -> Option<(Result<Bytes, Interrupted>, (Option<Bytes>, Events))> {
    if let Some(first) = first {
        return Some((Ok(first), (None, events)));
    }
    let next = events.next_or_resume().await?;
    Some((next, (None, events)))
}

/// How an answer begins.
enum Opening {
    /// Head and first events of a stream.
    Stream(StatusCode, HeaderMap, Bytes),
    /// A backend server's failure.
    Whole(Record),
}

/// A stream across all its attempts; dropping it cancels the work.
struct Events {
    attempts: Attempts,
    live: Option<Live>,
    /// Number of the last event that was passed on.
    last: u64,
    /// Events that were passed on.
    count: u64,
}

/// An attempt whose answer has begun.
struct Live {
    link: Link,
    slot: Slot,
    body: Incoming,
    parser: EventParser,
}

impl Events {
    fn new(attempts: Attempts) -> Self {
        let last = attempts.request.after;
        Self {
            attempts,
            live: None,
            last,
            count: 0,
        }
    }

    /// Makes attempts until one brings an event, or a final answer.
    async fn open(&mut self) -> Result<Opening, Refusal> {
        loop {
            let (link, slot, response) = self.start().await?;
            let (status, headers) = (response.status(), response.headers().clone());
            if status.is_success() {
                self.attach(link, slot, response);
                match self.next().await {
                    Ok(first) => {
                        self.attempts.account.first();
                        let first = first.unwrap_or_default();
                        return Ok(Opening::Stream(status, headers, first));
                    }
                    Err(failure) => self.give_back(&failure)?,
                }
                continue;
            }
            match self.read_whole(response).await {
                Ok(record) => {
                    slot.close(Outcome::Complete);
                    self.attempts.context.links.put(link);
                    return Ok(Opening::Whole(record));
                }
                Err(failure) => self.attempts.failed(&failure, slot)?,
            }
        }
    }

    /// The next events, from another backend server where one has failed; none at the end.
    async fn next_or_resume(&mut self) -> Option<Result<Bytes, Interrupted>> {
        loop {
            let failure = match self.next().await {
                Ok(next) => return next.map(Ok),
                Err(failure) => failure,
            };
            if let Err(refusal) = self.resume(&failure).await {
                let account = &mut self.attempts.account;
                account.step(format_compact!("the stream is cut: {}", refusal.message));
                account.refused(&refusal);
                return Some(Err(Interrupted));
            }
        }
    }

    /// Goes on at another backend server after a failure.
    async fn resume(&mut self, failure: &Failure) -> Result<(), Refusal> {
        self.give_back(failure)?;
        loop {
            let (link, slot, response) = self.start().await?;
            let status = response.status();
            if status.is_success() {
                self.attach(link, slot, response);
                return Ok(());
            }
            let reason = format_compact!("the backend server answered {status}");
            self.attempts.failed(&Failure::Faulty(reason), slot)?;
        }
    }

    /// Waits for a slot and sends, until a backend server answers.
    async fn start(&mut self) -> Result<(Link, Slot, Response<Incoming>), Refusal> {
        loop {
            let served = match self.count {
                0 => 0,
                count => self.attempts.request.served(count),
            };
            let (address, slot) = self.attempts.slot(served).await?;
            let to = Destination {
                address,
                backend: slot.backend(),
                after: self.last,
            };
            let (context, request) = (&self.attempts.context, &self.attempts.request);
            let sent = Instant::now();
            match send(context, request, &to, self.attempts.patience()).await {
                Ok((link, response)) => {
                    self.attempts.account.record.head = Some(sent.elapsed());
                    return Ok((link, slot, response));
                }
                Err(failure) => self.attempts.failed(&failure, slot)?,
            }
        }
    }

    fn attach(&mut self, link: Link, slot: Slot, response: Response<Incoming>) {
        self.live = Some(Live {
            link,
            slot,
            body: response.into_body(),
            parser: EventParser::default(),
        });
    }

    /// Gives the slot of the failed attempt back and tells whether another may be made.
    fn give_back(&mut self, failure: &Failure) -> Result<(), Refusal> {
        match self.live.take() {
            Some(live) => self.attempts.failed(failure, live.slot),
            None => Err(self.attempts.late()),
        }
    }

    /// All whole events that are there, waiting for the first one; none when the stream is whole.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Some(live) = &mut self.live else {
                return Err(Failure::Silent);
            };
            let (ready, count) = take_ready(&mut live.parser, &mut self.last);
            if count > 0 {
                self.count += count;
                self.attempts.ran();
                live.slot.count(self.attempts.request.served(self.count));
                return Ok(Some(ready));
            }
            if live.parser.pending() > EVENT_LIMIT {
                return Err(Failure::Faulty("an event is too long".into()));
            }
            let left = self.attempts.request.left();
            match silence_limit(left, live.body.frame()).await? {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        live.parser.feed(data);
                    }
                }
                Some(Err(error)) => return Err(Failure::Broken(format_compact!("{error}"))),
                None if live.parser.pending() > 0 => {
                    return Err(Failure::Broken("the stream ended within an event".into()));
                }
                None => {
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    fn finish(&mut self) {
        if let Some(live) = self.live.take() {
            live.slot.close(Outcome::Complete);
            self.attempts.context.links.put(live.link);
        }
        let tokens = self.count * u64::from(self.attempts.request.event_tokens);
        let account = &mut self.attempts.account;
        account.record.tokens = Tokens(tokens);
        account.record.whole = true;
        account.answered(StatusCode::OK, Run::Ran);
    }

    async fn read_whole(&self, response: Response<Incoming>) -> Result<Record, Failure> {
        let (status, headers) = (response.status(), response.headers().clone());
        let bound = self.attempts.context.limits.max_response;
        let left = self.attempts.request.left();
        let body = body::read(response.into_body(), bound, left).await;
        let body = body.map_err(|_| Failure::Broken("the answer broke off".into()))?;
        Ok(Record {
            status,
            headers,
            body,
        })
    }
}

/// Takes the whole events after `last` and counts them; one that came before is dropped.
fn take_ready(parser: &mut EventParser, last: &mut u64) -> (Bytes, u64) {
    let mut ready = BytesMut::new();
    let mut count = 0;
    while let Some((id, event)) = parser.next_raw_event() {
        if id.is_some_and(|id| id <= *last) {
            continue;
        }
        *last = id.unwrap_or(*last);
        ready.extend_from_slice(&event);
        count += 1;
    }
    (ready.freeze(), count)
}
