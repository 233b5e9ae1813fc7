use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use jaylock_observe::RunStatus;
use jaylock_rpc::v1::Ask;
use jaylock_types::Tokens;

use crate::attempt::{Attempt, Position};
use crate::call::{self, Call};
use crate::chat::Chat;
use crate::chunk::Chunk;
use crate::context::Context;
use crate::response::ErrorResponse;
use crate::retry::RetryState;
use crate::slot::Slot;
use crate::tracker::RequestTracker;

/// Longest run that finds out whether a request crashes backend servers.
const TRIAL_LIMIT: Duration = Duration::from_mins(1);

/// A model's answer in the making, across all attempts; dropping it cancels the work.
pub struct Generation {
    context: Rc<Context>,
    call: Call,
    chat: Chat,
    tracker: RequestTracker,
    retry: RetryState,
    live: Option<Live>,
    position: Position,
    tokens: u64,
    whole: bool,
}

struct Live {
    attempt: Attempt,
    address: SocketAddr,
    slot: Slot,
    base: u64,
}

impl Generation {
    /// Prepares the answer; nothing is asked yet.
    pub fn new(context: Rc<Context>, call: Call, chat: Chat, tracker: RequestTracker) -> Self {
        let retry = RetryState::new(context.clone(), &call, chat.pool.clone());
        Self {
            context,
            call,
            chat,
            tracker,
            retry,
            live: None,
            position: Position::default(),
            tokens: 0,
            whole: false,
        }
    }

    /// The next piece of the answer, or none when it is whole.
    pub async fn next(&mut self) -> Result<Option<Chunk>, ErrorResponse> {
        if self.whole {
            return Ok(None);
        }
        let outcome = if self.is_bounded() {
            let left = self.call.left();
            let outcome = compio::time::timeout(left, self.advance()).await;
            outcome.unwrap_or_else(|_| Err(call::deadline_exceeded(self.retry.run())))
        } else {
            self.advance().await
        };
        if let Err(refusal) = &outcome {
            self.live = None;
            self.tracker.record_error(refusal);
        }
        outcome
    }

    /// Whether it runs, as far as is known.
    pub fn run(&self) -> RunStatus {
        self.retry.run()
    }

    /// The call it answers.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// The request as it was understood.
    pub fn chat(&self) -> &Chat {
        &self.chat
    }

    /// Whether a deadline holds: without one of the caller's, only until the answer has begun.
    fn is_bounded(&self) -> bool {
        self.call.is_named || self.position.last == 0
    }

    async fn advance(&mut self) -> Result<Option<Chunk>, ErrorResponse> {
        loop {
            let Some(live) = &mut self.live else {
                self.start().await?;
                continue;
            };
            match live.attempt.next().await {
                Ok(Some(piece)) => {
                    self.note(&piece);
                    return Ok(Some(piece));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(failure) => {
                    if let Some(live) = self.live.take() {
                        let (retry, tracker) = (&mut self.retry, &self.tracker);
                        retry
                            .record_failure(&failure, live.address, live.slot, tracker)
                            .await?;
                    }
                }
            }
        }
    }

    async fn start(&mut self) -> Result<(), ErrorResponse> {
        let ask = Ask {
            served: self.tokens,
            ..self.chat.ask.clone()
        };
        let (address, slot) = self.retry.acquire_slot(ask, &mut self.tracker).await?;
        let left = if self.is_bounded() {
            self.call.left()
        } else {
            self.context.settings.default_timeout
        };
        match Attempt::start(&self.context, &self.chat, address, self.position, left).await {
            Ok(attempt) => {
                let base = self.tokens;
                self.live = Some(Live {
                    attempt,
                    address,
                    slot,
                    base,
                });
                Ok(())
            }
            Err(failure) => {
                let tracker = &self.tracker;
                self.retry
                    .record_failure(&failure, address, slot, tracker)
                    .await
            }
        }
    }

    fn note(&mut self, piece: &Chunk) {
        self.tracker.record_first_token();
        self.retry.mark_ran();
        self.position.last = piece.number;
        self.position.finished |= piece.is_finish();
        let counted = self.tokens + piece.tokens();
        self.tokens = piece.total().unwrap_or(counted).max(counted);
        if let Some(live) = &mut self.live {
            live.slot.record_tokens(self.tokens - live.base);
        }
    }

    fn finish(&mut self) {
        if let Some(live) = self.live.take() {
            self.retry.record_success(live.slot);
            live.attempt.close();
        }
        self.whole = true;
        let record = &mut self.tracker.record;
        record.tokens = Tokens(self.tokens);
        record.is_complete = true;
        self.tracker.record_response(StatusCode::OK, RunStatus::Ran);
    }
}

/// A generation whose caller listens; a suspect's trial goes on when the caller hangs up.
pub struct Attended(Option<Generation>);

impl Attended {
    /// Attaches a caller.
    pub fn new(generation: Generation) -> Self {
        Self(Some(generation))
    }

    /// The generation, until it is dropped.
    pub fn get(&mut self) -> Option<&mut Generation> {
        self.0.as_mut()
    }
}

impl Drop for Attended {
    fn drop(&mut self) {
        let Some(mut generation) = self.0.take().filter(|g| g.retry.is_suspect()) else {
            return;
        };
        generation.call.deadline = Instant::now() + TRIAL_LIMIT;
        generation.call.is_named = true;
        let context = generation.context.clone();
        context
            .background
            .spawn(async move { while let Ok(Some(_)) = generation.next().await {} });
    }
}
