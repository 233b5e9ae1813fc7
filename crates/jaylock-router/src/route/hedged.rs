use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use futures_util::future::{Either, select};
use jaylock_observe::HedgeEvent;
use jaylock_types::HedgePlan;

use super::attempts::Attempts;
use super::buffered::{Ended, accept, exchange};
use super::hedge_slot;
use super::send::Destination;
use crate::buffered_response::BufferedResponse;
use crate::slot::Slot;

/// An attempt in progress; dropping it closes its connection and releases its slot as cancelled.
struct Running {
    address: SocketAddr,
    backend: String,
    number: u32,
    is_hedge: bool,
    started: Instant,
    ending: Pin<Box<dyn Future<Output = Ended>>>,
}

impl Running {
    /// Starts an attempt in the slot that was granted last.
    fn start(attempts: &Attempts, (address, slot): (SocketAddr, Slot), is_hedge: bool) -> Self {
        let (context, request) = (attempts.context.clone(), attempts.request.clone());
        let (is_tried, timeout) = (attempts.has_tried(address), attempts.head_timeout());
        let backend = slot.backend().to_owned();
        let ending = async move {
            let to = Destination {
                address,
                slot: &slot,
                is_tried,
                last_event: None,
            };
            let mut head_time = None;
            let on_head = |time| head_time = Some(time);
            let outcome = exchange(&context, &request, &to, timeout, on_head).await;
            Ended {
                address,
                slot,
                head_time,
                hedge_time: Duration::ZERO,
                outcome,
            }
        };
        Self {
            address,
            backend,
            number: attempts.count(),
            is_hedge,
            started: Instant::now(),
            ending: Box::pin(ending),
        }
    }
}

/// Runs an attempt, and a second one beside it once it is late.
///
/// Returns the first good response, at which the other attempt is cancelled, or the failure of the attempt that
/// ended last.
pub async fn run(
    attempts: &mut Attempts,
    granted: (SocketAddr, Slot),
    plan: HedgePlan,
    server_error: &mut Option<BufferedResponse>,
) -> Ended {
    let first = Running::start(attempts, granted, false);
    match start_hedge(attempts, first, plan).await {
        Ok(ended) => accept(attempts, ended, server_error),
        Err(both) => race(attempts, both, server_error).await,
    }
}

/// Waits until an attempt has ended, or returns it with a second one once it is late.
async fn start_hedge(
    attempts: &mut Attempts,
    mut first: Running,
    plan: HedgePlan,
) -> Result<Ended, [Running; 2]> {
    let delay = Box::pin(compio::time::sleep(plan.delay));
    if let Either::Left((ended, _)) = select(&mut first.ending, delay).await {
        return Ok(ended);
    }
    let asking = hedge_slot::acquire(attempts, (first.address, &first.backend), plan);
    let granted = match select(&mut first.ending, Box::pin(asking)).await {
        Either::Left((ended, _)) => return Ok(ended),
        Either::Right((granted, _)) => granted,
    };
    let Some(granted) = granted else {
        return Ok(first.ending.await);
    };
    let second = Running::start(attempts, granted, true);
    Err([first, second])
}

/// Waits for the first good response of two attempts; one that fails leaves the request to the other.
async fn race(
    attempts: &mut Attempts,
    [mut first, mut second]: [Running; 2],
    server_error: &mut Option<BufferedResponse>,
) -> Ended {
    let (ended, is_first) = match select(&mut first.ending, &mut second.ending).await {
        Either::Left((ended, _)) => (ended, true),
        Either::Right((ended, _)) => (ended, false),
    };
    let (this, other) = if is_first {
        (first, second)
    } else {
        (second, first)
    };
    let ended = accept(attempts, ended, server_error);
    let Err(error) = &ended.outcome else {
        record_winner(attempts, &this, &other);
        let hedge_time = this.started.elapsed();
        let hedge_time = if this.is_hedge {
            hedge_time
        } else {
            Duration::ZERO
        };
        return Ended {
            hedge_time,
            ..ended
        };
    };
    if this.is_hedge {
        record_waste(attempts, this.started.elapsed());
    }
    attempts.record_failed_beside(error, ended.address, ended.slot, this.number);
    attempts.tracker.record_step(format_compact!(
        "attempt {} at {} goes on alone",
        other.number,
        other.backend
    ));
    let ended = other.ending.await;
    let ended = accept(attempts, ended, server_error);
    if other.is_hedge && ended.outcome.is_ok() {
        attempts.context.observer.record_hedge(HedgeEvent::Won);
    }
    ended
}

/// Records which of two attempts responded first; the other one is about to be cancelled.
fn record_winner(attempts: &Attempts, winner: &Running, loser: &Running) {
    let (took, ran) = (winner.started.elapsed(), loser.started.elapsed());
    let (took_ms, ran_ms) = (took.as_millis(), ran.as_millis());
    attempts.tracker.record_step(format_compact!(
        "attempt {} at {} won after {took_ms} ms; attempt {} at {} is cancelled after {ran_ms} ms",
        winner.number,
        winner.backend,
        loser.number,
        loser.backend
    ));
    log::debug!(
        target: "router",
        request = attempts.request.id.as_str(), organisation = attempts.request.organisation.as_str(),
        winner = winner.backend.as_str(), loser = loser.backend.as_str(), second_won = winner.is_hedge,
        took_ms:? = took_ms, cancelled_after_ms:? = ran_ms;
        "a hedged request has its response"
    );
    if winner.is_hedge {
        attempts.context.observer.record_hedge(HedgeEvent::Won);
    }
    record_waste(attempts, ran);
}

fn record_waste(attempts: &Attempts, time: Duration) {
    attempts.context.observer.record_hedge_waste(time);
}
