use std::net::SocketAddr;

use compact_str::format_compact;
use jaylock_observe::HedgeEvent;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, Grant};
use jaylock_types::{HedgePlan, millis};

use super::attempts::Attempts;
use crate::slot::Slot;

/// Requests a slot for a second attempt beside one at `first`; `None` if it may not be made.
///
/// The allowance is spent when the slot is requested, so that it bounds what schedulers must refuse too.
pub async fn acquire(
    attempts: &mut Attempts,
    first: (SocketAddr, &str),
    plan: HedgePlan,
) -> Option<(SocketAddr, Slot)> {
    attempts.is_hedged = true;
    // All backend servers look late to a router that is short of processor time itself.
    let is_overloaded = attempts.context.overload.is_overloaded();
    if is_overloaded || attempts.check_quarantine().is_err() {
        return None;
    }
    if !may_spend(attempts) {
        return refuse(attempts, HedgeEvent::OverLimit);
    }
    let (context, pool) = (attempts.context.clone(), attempts.request.pool().clone());
    let ask = spare_request(attempts, first.1);
    match context.schedulers.request_slot(&pool, ask).await {
        Ok(grant) => use_grant(attempts, first, plan, grant),
        Err(_) => refuse(attempts, HedgeEvent::NoSpareSlot),
    }
}

/// Whether the operators' limit and the retry budget allow a second attempt now.
fn may_spend(attempts: &Attempts) -> bool {
    let (context, service) = (&attempts.context, attempts.request.pool().as_str());
    let has_lease = context.lease.is_valid();
    context.budget.can_withdraw(service) && context.hedging.try_spend(service, has_lease)
}

/// Request for a slot that no other request needs, at another backend server than `first`.
fn spare_request(attempts: &Attempts, first: &str) -> Ask {
    let mut avoid = attempts.avoid.clone();
    avoid.push(first.to_owned());
    Ask {
        avoid,
        software: attempts.software.required(),
        patience_ms: millis(attempts.request.remaining()),
        spare: true,
        ..attempts.request.slot_request()
    }
}

/// Counts the second attempt, or gives its slot back if it may not be made any more.
fn use_grant(
    attempts: &mut Attempts,
    first: (SocketAddr, &str),
    plan: HedgePlan,
    grant: Grant,
) -> Option<(SocketAddr, Slot)> {
    let (context, pool) = (attempts.context.clone(), attempts.request.pool().clone());
    let address: Option<SocketAddr> = grant.address.parse().ok();
    let (schedulers, checks) = (context.schedulers.clone(), context.crash_checks.clone());
    let slot = Slot::new(schedulers, checks, pool.clone(), grant);
    let is_other = |address: &SocketAddr| *address != first.0 && slot.backend() != first.1;
    let Some(address) = address.filter(is_other) else {
        slot.release(Outcome::NotRun);
        return refuse(attempts, HedgeEvent::NoSpareSlot);
    };
    if !plan.may_win(attempts.request.remaining()) {
        slot.release(Outcome::NotRun);
        return None;
    }
    if !context.budget.try_withdraw(pool.as_str()) {
        slot.release(Outcome::NotRun);
        return refuse(attempts, HedgeEvent::OverLimit);
    }
    context.observer.record_hedge(HedgeEvent::Sent);
    attempts.count_attempt(&slot);
    Some((address, slot))
}

fn refuse<T>(attempts: &Attempts, event: HedgeEvent) -> Option<T> {
    attempts.context.observer.record_hedge(event);
    let reason = match event {
        HedgeEvent::OverLimit => "the limit is reached",
        _ => "no slot to spare",
    };
    let step = format_compact!("no second attempt: {reason}");
    attempts.tracker.record_step(step);
    None
}
