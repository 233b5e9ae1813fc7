use std::time::Instant;

use jaylock_rpc::v1::{BackendState, OrganisationShare, PoolReport};
use jaylock_types::millis;

use crate::admission::account::Account;
use crate::backends::backend::Backend;
use crate::scheduler::allocator::Allocator;

impl Allocator {
    /// Report on the pool for operators.
    #[must_use]
    pub fn describe(&self, instance: &str, now: Instant) -> PoolReport {
        PoolReport {
            pool: self.pool.as_str().into(),
            epoch: self.epoch,
            instance: instance.into(),
            organisations: self.accounts.iter().map(organisation_share).collect(),
            backends: self
                .backends
                .iter()
                .map(|b| self.backend_state(b, now))
                .collect(),
            decisions: self.decisions.iter().cloned().collect(),
            utilisation_ppm: self.usage.used_ppm(),
        }
    }

    fn backend_state(&self, backend: &Backend, now: Instant) -> BackendState {
        let report_age = now.saturating_duration_since(backend.last_report);
        let reason = backend.unusable_reason(now, self.settings.backend_lease);
        let state = match reason {
            "" if backend.cold.is_cold() => "cold",
            "" => "ready",
            reason => reason,
        };
        BackendState {
            report: Some(backend.report.clone()),
            granted: backend.granted,
            heard_ms_ago: millis(report_age),
            state: state.into(),
            pace_percent: backend.pace.learned().pace_percent(),
            work_time_percent: backend.pace.work_time(now).percent(),
        }
    }
}

fn organisation_share(account: &Account) -> OrganisationShare {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    OrganisationShare {
        organisation: account.id.as_str().into(),
        weight: account.weight,
        backlog: count(account.queue.len()),
        running: account.running,
        weighted_service: account.weighted_service(),
        tokens: account.tokens,
        wait_p50_ms: account.wait_percentile(50),
        wait_p99_ms: account.wait_percentile(99),
        refused: account.refused,
    }
}
