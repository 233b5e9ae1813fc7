//! Orders to evacuate and restore failure domains.

use std::time::{Duration, Instant};

use compact_str::format_compact;
use jaylock_control::{ConfigView, find_evacuation, is_evacuated, is_known_domain};
use jaylock_observe::Observer;
use jaylock_router::new_command;
use jaylock_rpc::v1::applied::Result as Outcome;
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Configuration, Evacuation, SetEvacuation};
use jaylock_types::{DomainId, Index, boottime_now};

use crate::api::{ApiError, ControlApi, Result, with_control_timeout};

/// Time after the arrival of a call in which its order is sent to control.
///
/// A caller that got no reply for this long has asked another instance, perhaps for the opposite.
const MAX_CALL_AGE: Duration = Duration::from_secs(1);

impl ControlApi {
    /// Evacuates or restores a failure domain; succeeds without a change if the domain is in that state.
    ///
    /// # Errors
    /// [`ApiError::Invalid`] when no instance ever registered in the domain; [`ApiError::Unavailable`] when the order
    /// was not confirmed, in which case it may take effect or not.
    pub async fn set_evacuation(&self, domain: &DomainId, is_evacuated: bool) -> Result<()> {
        let arrived_at = boottime_now();
        self.check_running()?;
        if self.pauses.may_read_old_calls(arrived_at) {
            return Err(too_old());
        }
        let configuration = with_control_timeout(Box::pin(self.client.read())).await?;
        let Some(order) = needed_order(&configuration, domain, is_evacuated)? else {
            return Ok(());
        };
        self.send_order(order, arrived_at + MAX_CALL_AGE).await
    }

    async fn send_order(&self, order: SetEvacuation, last_sending: Instant) -> Result<()> {
        if boottime_now() > last_sending {
            return Err(too_old());
        }
        let (domain, evacuated) = (order.domain.clone(), order.evacuated);
        let command = new_command(Body::SetEvacuation(order));
        let proposal = Box::pin(self.client.propose_until(command, last_sending));
        let applied = with_control_timeout(proposal).await?;
        match applied.result {
            Some(Outcome::Done(_)) => {
                log::info!(
                    target: "operator", domain, evacuated, index = applied.index;
                    "an order for a failure domain is durable"
                );
                Ok(())
            }
            Some(Outcome::Conflict(_)) => Err(ApiError::Unavailable(
                "another order for this domain came first: send it again".into(),
            )),
            Some(Outcome::Refused(reason)) => Err(ApiError::Invalid(reason.into())),
            other => Err(ApiError::Unavailable(format_compact!(
                "control answered {other:?}"
            ))),
        }
    }
}

/// The order that brings a failure domain into a state; `None` if the domain is in that state.
fn needed_order(
    configuration: &Configuration,
    domain: &DomainId,
    evacuated: bool,
) -> Result<Option<SetEvacuation>> {
    let name = domain.as_str();
    if !is_known_domain(configuration, name) {
        return Err(ApiError::Invalid(format_compact!(
            "no instance ever registered in failure domain \"{name}\": correct the name"
        )));
    }
    if is_evacuated(configuration, name) == evacuated {
        return Ok(None);
    }
    Ok(Some(SetEvacuation {
        domain: name.into(),
        evacuated,
        prior_index: find_evacuation(configuration, name).map_or(0, |e| e.index),
    }))
}

fn too_old() -> ApiError {
    ApiError::Unavailable(
        "the call may be over a second old, and its caller may have asked another instance: send it again".into(),
    )
}

/// Logs the evacuations and restorations that become active in this instance, and records them in the metrics.
pub async fn report_evacuations(view: ConfigView, observer: Observer) {
    let mut reported = Index(0);
    loop {
        let configuration = view.wait_newer_than(reported).await;
        for evacuation in &configuration.evacuations {
            observer.record_evacuation(&evacuation.domain, evacuation.since_ms > 0);
        }
        for evacuation in news(&configuration, reported) {
            log_evacuation(evacuation);
        }
        reported = Index(configuration.index);
    }
}

/// Orders after an index; of the first configuration only those in force.
fn news(configuration: &Configuration, reported: Index) -> impl Iterator<Item = &Evacuation> {
    let evacuations = configuration.evacuations.iter();
    let is_first = reported == Index(0);
    evacuations
        .filter(move |e| Index(e.index) > reported)
        .filter(move |e| e.since_ms > 0 || !is_first)
}

fn log_evacuation(evacuation: &Evacuation) {
    let Evacuation {
        domain,
        index,
        since_ms,
        ..
    } = evacuation;
    if *since_ms > 0 {
        log::warn!(target: "daemon", domain, index, since_ms; "a failure domain is evacuated");
    } else {
        log::info!(target: "daemon", domain, index; "a failure domain is restored");
    }
}
