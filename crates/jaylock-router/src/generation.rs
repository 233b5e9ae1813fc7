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

/// Timeout of an isolated run whose caller has disconnected.
const ISOLATED_RUN_TIMEOUT: Duration = Duration::from_mins(1);

/// Generation of a model's response across all attempts; dropping it cancels the work.
pub struct Generation {
    context: Rc<Context>,
    call: Call,
    chat: Chat,
    tracker: RequestTracker,
    retry: RetryState,
    active: Option<ActiveAttempt>,
    position: Position,
    tokens: u64,
    is_complete: bool,
}

struct ActiveAttempt {
    attempt: Attempt,
    address: SocketAddr,
    slot: Slot,
    /// Tokens of the response that earlier attempts generated.
    previous_tokens: u64,
}

impl Generation {
    /// Creates a generation; the first attempt starts with [`Generation::next`].
    pub fn new(context: Rc<Context>, call: Call, chat: Chat, tracker: RequestTracker) -> Self {
        let retry = RetryState::new(context.clone(), &call, chat.pool.clone());
        Self {
            context,
            call,
            chat,
            tracker,
            retry,
            active: None,
            position: Position::default(),
            tokens: 0,
            is_complete: false,
        }
    }

    /// Returns the next chunk, or `None` when the response is complete.
    pub async fn next(&mut self) -> Result<Option<Chunk>, ErrorResponse> {
        if self.is_complete {
            return Ok(None);
        }
        let outcome = if self.has_deadline() {
            let remaining = self.call.remaining();
            let outcome = compio::time::timeout(remaining, self.advance()).await;
            outcome.unwrap_or_else(|_| Err(call::deadline_exceeded(self.retry.run_status())))
        } else {
            self.advance().await
        };
        if let Err(error) = &outcome {
            self.active = None;
            self.tracker.record_error(error);
        }
        outcome
    }

    /// Whether the request ran, as far as is known.
    pub fn run_status(&self) -> RunStatus {
        self.retry.run_status()
    }

    /// The call that the response belongs to.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// The parsed chat request.
    pub fn chat(&self) -> &Chat {
        &self.chat
    }

    /// Whether a deadline applies; the default one only until the response has begun.
    fn has_deadline(&self) -> bool {
        self.call.has_deadline || self.position.last_chunk == 0
    }

    async fn advance(&mut self) -> Result<Option<Chunk>, ErrorResponse> {
        loop {
            let Some(active) = &mut self.active else {
                self.start().await?;
                continue;
            };
            match active.attempt.next().await {
                Ok(Some(chunk)) => {
                    self.record_chunk(&chunk);
                    return Ok(Some(chunk));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(error) => {
                    if let Some(active) = self.active.take() {
                        let (retry, tracker) = (&mut self.retry, &self.tracker);
                        retry
                            .record_failure(&error, active.address, active.slot, tracker)
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
        let remaining = if self.has_deadline() {
            self.call.remaining()
        } else {
            self.context.settings.default_timeout
        };
        let (context, chat, to) = (&self.context, &self.chat, (address, &slot));
        match Attempt::start(context, chat, to, self.position, remaining).await {
            Ok(attempt) => {
                let previous_tokens = self.tokens;
                self.active = Some(ActiveAttempt {
                    attempt,
                    address,
                    slot,
                    previous_tokens,
                });
                Ok(())
            }
            Err(error) => {
                let tracker = &self.tracker;
                self.retry
                    .record_failure(&error, address, slot, tracker)
                    .await
            }
        }
    }

    fn record_chunk(&mut self, chunk: &Chunk) {
        self.tracker.record_first_token();
        self.retry.mark_ran();
        self.position.last_chunk = chunk.number;
        self.position.is_finished |= chunk.is_finish();
        let counted = self.tokens + chunk.tokens();
        self.tokens = chunk.total_tokens().unwrap_or(counted).max(counted);
        if let Some(active) = &mut self.active {
            self.retry.pin_software(active.slot.software());
            active
                .slot
                .record_tokens(self.tokens - active.previous_tokens);
        }
    }

    fn finish(&mut self) {
        if let Some(active) = self.active.take() {
            self.retry.record_success(active.slot);
            active.attempt.release_connection();
        }
        self.is_complete = true;
        let record = &mut self.tracker.record;
        record.tokens = Tokens(self.tokens);
        record.is_complete = true;
        self.tracker.record_response(StatusCode::OK, RunStatus::Ran);
    }
}

/// A generation of a connected caller; an isolated run continues when the caller disconnects.
pub struct GenerationGuard(Option<Generation>);

impl GenerationGuard {
    /// Wraps the generation of a connected caller.
    pub fn new(generation: Generation) -> Self {
        Self(Some(generation))
    }

    /// Returns the generation, while the guard holds it.
    pub fn get(&mut self) -> Option<&mut Generation> {
        self.0.as_mut()
    }
}

impl Drop for GenerationGuard {
    fn drop(&mut self) {
        let Some(mut generation) = self.0.take().filter(|g| g.retry.is_suspect()) else {
            return;
        };
        generation.call.deadline = Instant::now() + ISOLATED_RUN_TIMEOUT;
        generation.call.has_deadline = true;
        let context = generation.context.clone();
        context
            .background
            .spawn(async move { while let Ok(Some(_)) = generation.next().await {} });
    }
}
