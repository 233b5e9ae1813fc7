use std::time::Instant;

use compact_str::CompactString;
use futures_channel::oneshot;
use jaylock_rpc::v1::{BackendReport, Configuration, FallbackSlots, Grant};

use crate::backends::requirement::Requirement;
use crate::client::crashed_starts::CrashedStarts;
use crate::client::pending_request::{AskResult, PendingRequest};
use crate::client::recent_reports::RecentReports;
use crate::client::state::ClientState;

/// A slot that became free while no scheduler responded.
#[derive(Debug)]
pub struct SpareSlot {
    pub backend: CompactString,
    pub address: CompactString,
    pub incarnation: u64,
    pub software: CompactString,
    pub domain: CompactString,
    pub requirement: Requirement,
}

impl ClientState {
    /// Grants the router's own slots to its organisations, the least served first.
    ///
    /// Does nothing while a scheduler is attached or was lost less than the fallback delay ago.
    pub fn grant_locally(&mut self, configuration: &Configuration, now: Instant) {
        self.pauses.watch(now);
        self.observe_pause(now);
        self.configure(configuration);
        if !self.decides_alone(now) {
            return;
        }
        self.drop_earlier_starts();
        while let Some(grant) = self.next_local_grant(configuration, now) {
            self.limits.record_grant(&grant.backend, now);
            self.record_local_prefill(&grant, now);
            self.grant(grant, now);
        }
    }

    /// Takes the requests that take up streams which this router, without a scheduler, has not begun.
    pub fn take_unknown_streams(&mut self, now: Instant) -> Vec<(u64, oneshot::Sender<AskResult>)> {
        if !self.decides_alone(now) {
            return Vec::new();
        }
        let unknown = self.pending.extract_if(.., |p| p.has_unknown_origin());
        unknown.map(PendingRequest::into_reply).collect()
    }

    /// Takes the requests that take up streams whose version this router has no backend server of.
    ///
    /// Their callers may find one at another router; a response that has begun waits for the next scheduler.
    pub fn take_lost_streams(&mut self, now: Instant) -> Vec<(u64, oneshot::Sender<AskResult>)> {
        if !self.decides_alone(now) {
            return Vec::new();
        }
        let is_evacuated = |domain: &str| self.evacuations.contains(domain);
        let departures = &self.departures;
        let reported = newest_slots(&self.fallback, &self.reports, &self.crashed_starts)
            .filter(|(report, _)| !is_evacuated(&report.domain))
            .filter(|(report, _)| !departures.contains(&report.id, report.incarnation))
            .map(|(report, _)| report.software.as_str());
        let held = self
            .held
            .iter()
            .filter(|h| self.is_newest_start(&h.backend, h.incarnation))
            .filter(|h| !is_evacuated(&h.domain));
        let held = held.map(|held| held.software.as_str());
        let spare = self.spare.iter().filter(|s| !is_evacuated(&s.domain));
        let spare = spare.map(|spare| spare.software.as_str());
        let versions = reported.chain(held).chain(spare);
        let versions: Vec<CompactString> = versions.map(CompactString::from).collect();
        let is_outdated = self.pauses.is_list_outdated();
        let is_lost = |pending: &mut PendingRequest| {
            let software = pending.ask.software.as_deref();
            let is_missing = |software| is_outdated || !versions.iter().any(|v| v == software);
            software.is_some_and(is_missing) && pending.ask.served == 0
        };
        let lost = self.pending.extract_if(.., is_lost);
        lost.map(PendingRequest::into_reply).collect()
    }

    /// Takes all requests while no scheduler is attached and no backend server of the fleet may be used.
    pub fn take_evacuated(&mut self) -> Vec<(u64, oneshot::Sender<AskResult>)> {
        if self.is_attached || !self.evacuations.is_total() {
            return Vec::new();
        }
        let pending = self.pending.drain(..);
        pending.map(PendingRequest::into_reply).collect()
    }

    /// Whether no scheduler has been attached for so long that the router grants its own slots.
    pub(crate) fn decides_alone(&self, now: Instant) -> bool {
        let wait = self.settings.fallback_delay;
        let is_over = |at: Instant| now.saturating_duration_since(at) >= wait;
        !self.is_attached && self.detached_at.is_some_and(is_over)
    }

    /// The next local grant.
    fn next_local_grant(&mut self, configuration: &Configuration, now: Instant) -> Option<Grant> {
        let is_outdated = self.pauses.is_list_outdated();
        let is_allowed = |pending: &&PendingRequest| {
            let ask = &pending.ask;
            let has_origin = match ask.software {
                Some(_) => !is_outdated,
                None => !pending.has_unknown_origin(),
            };
            has_origin && !ask.alone && !self.crashes.is_suspect(ask)
        };
        let mut order: Vec<(u64, u64)> = self
            .pending
            .iter()
            .filter(is_allowed)
            .map(|pending| {
                let organisation = &pending.ask.organisation;
                (
                    self.weighted_millitokens(organisation, configuration),
                    pending.ask.ticket,
                )
            })
            .collect();
        order.sort_unstable();
        let mut tickets = order.into_iter().map(|(_, ticket)| ticket);
        tickets.find_map(|ticket| self.find_local_slot(ticket, now))
    }

    fn find_local_slot(&mut self, ticket: u64, now: Instant) -> Option<Grant> {
        let pending = self
            .pending
            .iter()
            .find(|pending| pending.ask.ticket == ticket)?;
        let requirement = Requirement::from_ask(&pending.ask);
        let (limits, exclusions) = (&mut self.limits, &self.exclusions);
        let (evacuations, fallback) = (&self.evacuations, &self.fallback);
        let departures = &self.departures;
        let is_warm = |backend: &str, incarnation: u64| {
            let is_told = !self.pauses.is_list_outdated();
            !self.has_cold_servers || (is_told && is_told_warm(fallback, backend, incarnation))
        };
        let max_pending = self.settings.max_local_prefill;
        let has_prompt = !pending.ask.parts.is_empty();
        let admits_prompt = |backend: &str| {
            let prompt_tokens = prompt_rate(fallback, backend);
            let prefill = &self.local_prefill;
            !has_prompt || prefill.admits(backend, prompt_tokens, max_pending, now)
        };
        let mut admits = |backend: &str, incarnation: u64, domain: &str| {
            !pending.avoids(backend)
                && admits_prompt(backend)
                && !evacuations.contains(domain)
                && !departures.contains(backend, incarnation)
                && is_warm(backend, incarnation)
                && !exclusions.contains(backend, incarnation, now)
                && limits.admits(backend, now)
        };
        let grant = Grant {
            ticket,
            epoch: self.epoch,
            ..Grant::default()
        };
        let spare = self.spare.iter().position(|spare| {
            requirement.is_met_by_slot(&spare.requirement, &spare.software)
                && admits(&spare.backend, spare.incarnation, &spare.domain)
        });
        if let Some(index) = spare {
            let spare = self.spare.swap_remove(index);
            return Some(Grant {
                backend: spare.backend.into(),
                address: spare.address.into(),
                incarnation: spare.incarnation,
                software: spare.software.into(),
                domain: spare.domain.into(),
                ..grant
            });
        }
        let total: u32 = self.fallback.iter().map(|share| share.slots).sum();
        if self.held.len() + self.spare.len() >= total as usize {
            return None;
        }
        let (report, _) = newest_slots(&self.fallback, &self.reports, &self.crashed_starts).find(
            |(report, slots)| {
                let held = self.held.iter().filter(|held| held.backend == report.id);
                requirement.is_met(report)
                    && held.count() < *slots as usize
                    && admits(&report.id, report.incarnation, &report.domain)
            },
        )?;
        Some(Grant {
            backend: report.id.clone(),
            address: report.address.clone(),
            incarnation: report.incarnation,
            software: report.software.clone(),
            domain: report.domain.clone(),
            ..grant
        })
    }

    fn record_local_prefill(&mut self, grant: &Grant, now: Instant) {
        let granted = self.pending.iter().find(|p| p.ask.ticket == grant.ticket);
        let Some(pending) = granted else { return };
        let prompt_tokens = prompt_rate(&self.fallback, &grant.backend);
        self.local_prefill
            .record_grant(&grant.backend, prompt_tokens, &pending.ask, now);
    }

    /// Whether this router knows neither of the end of a start nor of a newer one.
    fn is_newest_start(&self, backend: &str, incarnation: u64) -> bool {
        let own = self.reports.find(backend);
        let has_newer = own.is_some_and(|own| own.incarnation > incarnation);
        !has_newer && !self.crashed_starts.contains(backend, incarnation)
    }

    /// Drops the free slots of earlier starts of backend servers.
    fn drop_earlier_starts(&mut self) {
        let mut spare = std::mem::take(&mut self.spare);
        spare.retain(|spare| self.is_newest_start(&spare.backend, spare.incarnation));
        self.spare = spare;
    }

    /// Weighted service of an organisation since the scheduler was lost, including its running requests,
    /// in thousandths of a token per unit of weight.
    fn weighted_millitokens(&self, organisation: &str, configuration: &Configuration) -> u64 {
        let unreported = self
            .search_total(organisation)
            .map_or(0, |index| self.totals[index].unheard);
        let own_slots = self
            .held
            .iter()
            .filter(|held| held.organisation == organisation);
        let running: u64 = own_slots.map(|held| held.tokens + 1).sum();
        let organisations = &configuration.organisations;
        let search = organisations.binary_search_by(|o| o.id.as_str().cmp(organisation));
        let weight = search.map_or(1, |index| organisations[index].weight.max(1));
        (unreported + running) * 1000 / u64::from(weight)
    }
}

/// Prompt tokens a second that a router may send to a backend server; 0 if that isn't limited.
fn prompt_rate(told: &[FallbackSlots], backend: &str) -> u64 {
    let is_told = |share: &&FallbackSlots| share.backend.as_ref().is_some_and(|r| r.id == backend);
    told.iter()
        .find(is_told)
        .map_or(0, |share| share.prompt_tokens)
}

/// Whether a scheduler told a router that this start of a backend server is warm, and nothing has said otherwise since.
fn is_told_warm(told: &[FallbackSlots], backend: &str, incarnation: u64) -> bool {
    let mut reports = told.iter().filter_map(|share| share.backend.as_ref());
    reports.any(|r| r.id == backend && r.incarnation == incarnation && r.cold_ms == Some(0))
}

/// The slots that a scheduler told a router, each with the report of the newest start, unless that has crashed.
fn newest_slots<'a>(
    told: &'a [FallbackSlots],
    reports: &'a RecentReports,
    crashed: &'a CrashedStarts,
) -> impl Iterator<Item = (&'a BackendReport, u32)> {
    told.iter().filter_map(|share| {
        let told = share.backend.as_ref()?;
        let own = reports.find(&told.id);
        let newer = own.filter(|own| own.incarnation > told.incarnation);
        let newest = newer.unwrap_or(told);
        let has_crashed = crashed.contains(&newest.id, newest.incarnation);
        // The scheduler must know all versions at which streams may begin.
        let is_known = newest.software == told.software;
        (is_known && !has_crashed).then_some((newest, share.slots))
    })
}
