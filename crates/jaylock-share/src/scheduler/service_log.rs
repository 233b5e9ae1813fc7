use std::time::{Duration, Instant};

use jaylock_rpc::v1::Ask;

use crate::admission::account::AccountKey;
use crate::scheduler::allocator::Allocator;

/// Time that one line covers.
const INTERVAL: Duration = Duration::from_secs(1);
/// Organisations that are logged for one interval, those with the most refused tokens.
const MAX_LINES: usize = 6;

/// What organisations were granted and refused since the last lines were written.
#[derive(Debug, Default)]
pub struct ServiceLog {
    // Sorted by account.
    list: Vec<(AccountKey, Service)>,
    started: Option<Instant>,
}

/// What became of a request for a slot.
#[derive(Debug, Clone, Copy)]
pub enum AskOutcome {
    /// It was granted a slot.
    Granted,
    /// It was refused at its arrival.
    Declined,
    /// It was refused after it had waited too long.
    Overdue,
}

/// Prompt tokens of an organisation in one interval, by what became of the requests.
#[derive(Debug, Clone, Copy, Default)]
struct Service {
    granted: u64,
    declined: u64,
    overdue: u64,
    /// Largest service gap.
    gap: u64,
}

impl Service {
    fn refused(&self) -> u64 {
        self.declined + self.overdue
    }
}

impl ServiceLog {
    /// Adds a request with this many prompt tokens; `gap` is its organisation's service gap.
    fn add(&mut self, account: AccountKey, outcome: AskOutcome, tokens: u32, gap: u64) {
        let service = self.find_or_add(account);
        let sum = match outcome {
            AskOutcome::Granted => &mut service.granted,
            AskOutcome::Declined => &mut service.declined,
            AskOutcome::Overdue => &mut service.overdue,
        };
        *sum += u64::from(tokens);
        service.gap = service.gap.max(gap);
    }

    fn find_or_add(&mut self, account: AccountKey) -> &mut Service {
        let search = self.list.binary_search_by_key(&account, |(key, _)| *key);
        let index = search.unwrap_or_else(|index| {
            self.list.insert(index, (account, Service::default()));
            index
        });
        &mut self.list[index].1
    }

    /// Takes the service of an interval that is over, if anything was refused in it; the most refused tokens first.
    fn take(&mut self, now: Instant) -> Vec<(AccountKey, Service)> {
        let started = *self.started.get_or_insert(now);
        if now.saturating_duration_since(started) < INTERVAL {
            return Vec::new();
        }
        self.started = Some(now);
        let mut list = std::mem::take(&mut self.list);
        list.retain(|(_, service)| service.refused() > 0);
        list.sort_by_key(|(_, service)| std::cmp::Reverse(service.refused()));
        list.truncate(MAX_LINES);
        list
    }
}

impl Allocator {
    /// Records what became of an organisation's request.
    pub(crate) fn record_service(&mut self, account: AccountKey, outcome: AskOutcome, ask: &Ask) {
        let gap = self.accounts.service_gap(account);
        self.service_log
            .add(account, outcome, ask.prompt_tokens, gap);
    }

    /// Logs what the organisations with refused requests got in the last interval, so that their shares can be compared.
    pub(crate) fn log_service(&mut self, now: Instant) {
        for (account, service) in self.service_log.take(now) {
            let owner = self.accounts.get(account);
            log::info!(
                target: "share",
                pool = self.pool.as_str(), organisation = owner.id.as_str(), epoch = self.epoch,
                granted = service.granted, declined = service.declined, overdue = service.overdue,
                behind = service.gap, queued = owner.queue.len(), running = owner.running;
                "an organisation was refused prompts"
            );
        }
    }
}
