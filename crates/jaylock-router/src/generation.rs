use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use compact_str::format_compact;
use http::StatusCode;
use jaylock_observe::Run;
use jaylock_rpc::v1::Ask;
use jaylock_rpc::v1::end::Outcome;
use jaylock_types::Tokens;
use serde_json::Value;

use crate::account::Account;
use crate::answer::Refusal;
use crate::attempt::{Attempt, Failure, Position};
use crate::call::{self, Call};
use crate::chat::Chat;
use crate::piece::Piece;
use crate::router::Shared;
use crate::slot::Slot;

/// A model's answer in the making, across all attempts; dropping it cancels the work.
pub struct Generation {
    shared: Rc<Shared>,
    call: Call,
    chat: Chat,
    account: Account,
    live: Option<Live>,
    position: Position,
    tokens: u64,
    run: Run,
    tries: u32,
    avoid: Vec<String>,
    whole: bool,
}

struct Live {
    attempt: Attempt,
    slot: Slot,
    base: u64,
}

impl Generation {
    /// Prepares the answer; nothing is asked yet.
    pub fn new(shared: Rc<Shared>, call: Call, chat: Chat, account: Account) -> Self {
        Self {
            shared,
            call,
            chat,
            account,
            live: None,
            position: Position::default(),
            tokens: 0,
            run: Run::NotRun,
            tries: 0,
            avoid: Vec::new(),
            whole: false,
        }
    }

    /// The next piece of the answer, or none when it is whole.
    pub async fn next(&mut self) -> Result<Option<Piece>, Refusal> {
        if self.whole {
            return Ok(None);
        }
        let left = self.call.left();
        let outcome = compio::time::timeout(left, self.advance()).await;
        let outcome = outcome.unwrap_or_else(|_| Err(call::late(self.run)));
        if let Err(refusal) = &outcome {
            self.live = None;
            self.account.answered(refusal.status, refusal.run);
        }
        outcome
    }

    /// Whether it runs, as far as is known.
    pub fn run(&self) -> Run {
        self.run
    }

    /// The call it answers.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// The request as it was understood.
    pub fn chat(&self) -> &Chat {
        &self.chat
    }

    async fn advance(&mut self) -> Result<Option<Piece>, Refusal> {
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
                    let live = self.live.take();
                    let slot = live.map(|l| l.slot);
                    self.recover(&failure, slot)?;
                }
            }
        }
    }

    async fn start(&mut self) -> Result<(), Refusal> {
        let slot = self.slot().await?;
        self.tries += 1;
        self.account.record.attempts = self.tries;
        let Ok(address) = slot.0.parse::<SocketAddr>() else {
            let failure = Failure::Unreachable("its address is malformed".into());
            return self.recover(&failure, Some(slot.1));
        };
        let slot = slot.1;
        self.account.step(format_compact!(
            "attempt {} at {}",
            self.tries,
            slot.backend()
        ));
        let left = self.call.left();
        let before = self.run;
        // Until the attempt tells otherwise, bytes may have left.
        self.run = worse(self.run, Run::Unknown);
        match Attempt::start(&self.shared, &self.chat, address, self.position, left).await {
            Ok(attempt) => {
                let base = self.tokens;
                self.live = Some(Live {
                    attempt,
                    slot,
                    base,
                });
                Ok(())
            }
            Err(failure) => {
                if matches!(failure, Failure::Unreachable(_) | Failure::Declined) {
                    self.run = before;
                }
                self.recover(&failure, Some(slot))
            }
        }
    }

    async fn slot(&mut self) -> Result<(String, Slot), Refusal> {
        let waited = self.call.arrived.elapsed().as_millis();
        let ask = Ask {
            organisation: self.call.organisation.to_string(),
            avoid: self.avoid.clone(),
            served: self.tokens,
            waited_ms: u32::try_from(waited).unwrap_or(u32::MAX),
            request: self.call.request.to_string(),
            ..self.chat.ask.clone()
        };
        let asked = Instant::now();
        let outcome = self.shared.capacity.ask(&self.chat.pool, ask).await;
        self.account.record.waited += asked.elapsed();
        let grant = outcome.map_err(|r| Refusal::of_capacity(&r).ran(self.run))?;
        let address = grant.address.clone();
        let capacity = self.shared.capacity.clone();
        Ok((address, Slot::new(capacity, self.chat.pool.clone(), grant)))
    }

    fn note(&mut self, piece: &Piece) {
        self.account.first();
        self.run = Run::Ran;
        self.position.last = piece.number;
        self.tokens += 1;
        if let Some(live) = &mut self.live {
            live.slot.count(self.tokens - live.base);
        }
        let is_finish = |c: &Value| c["finish_reason"].is_string();
        let choices = piece.chunk.get("choices").and_then(Value::as_array);
        self.position.finished |= choices.is_some_and(|c| c.iter().any(is_finish));
    }

    fn finish(&mut self) {
        if let Some(live) = self.live.take() {
            live.slot.close(Outcome::Complete);
            live.attempt.close();
        }
        self.run = Run::Ran;
        self.whole = true;
        let record = &mut self.account.record;
        record.tokens = Tokens(self.tokens);
        record.whole = true;
        self.account.answered(StatusCode::OK, Run::Ran);
    }

    fn recover(&mut self, failure: &Failure, slot: Option<Slot>) -> Result<(), Refusal> {
        let backend = slot.as_ref().map(|s| s.backend().to_owned());
        if let Some(slot) = slot {
            slot.close(outcome(failure));
        }
        self.account
            .step(format_compact!("attempt failed: {failure}"));
        if let Failure::Final(status, body) = failure {
            return Err(final_word(*status, body));
        }
        if self.tries >= self.shared.settings.attempts {
            return Err(gave_up(self.run));
        }
        if matches!(failure, Failure::Unreachable(_) | Failure::Declined) {
            self.avoid.extend(backend);
        }
        Ok(())
    }
}

/// How an attempt ended, in the words of the scheduler.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::Unreachable(_) | Failure::Declined => Outcome::NotRun,
        Failure::Final(..) => Outcome::Complete,
        Failure::Broken(_) | Failure::Silent | Failure::Faulty(_) => Outcome::Broken,
    }
}

/// The refusal of a request that no backend server completed.
pub fn gave_up(run: Run) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_GATEWAY,
        "broken",
        "no backend server completed the answer",
        "ask again after the time in retry-after",
    )
    .ran(run)
    .after(std::time::Duration::from_secs(1))
}

fn worse(known: Run, seen: Run) -> Run {
    match known {
        Run::NotRun => seen,
        Run::Ran | Run::Unknown => known,
    }
}

fn final_word(status: StatusCode, body: &[u8]) -> Refusal {
    let text = String::from_utf8_lossy(body);
    Refusal::not_run(
        status,
        "engine",
        format_compact!("the engine refused the request: {text}"),
        "change the request as the engine's words say",
    )
    .ran(Run::Ran)
}
