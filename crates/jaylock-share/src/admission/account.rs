use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::Organisation;
use jaylock_types::millis;

use crate::admission::cost::CostModel;
use crate::admission::queue::Queue;
use crate::admission::wait::{Waiting, cost_until_served};

/// Unit in which weighted service is counted.
const MILLITOKENS_PER_TOKEN: u64 = 1000;
/// Latest waits that are kept for each organisation.
const MAX_WAITS: usize = 128;
/// Longest delay after which a refused caller is asked to retry.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Index of an organisation's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountKey(u32);

/// The scheduler's account of one organisation.
#[derive(Debug)]
pub struct Account {
    pub id: CompactString,
    pub weight: u32,
    pub queue_limit: u32,
    /// Weighted service, in thousandths of a token per unit of weight.
    pub weighted_millitokens: u64,
    pub tokens: u64,
    pub running: u32,
    pub refused: u64,
    pub cost: CostModel,
    pub queue: Queue,
    /// Cost of the requests that still waited after the last decision.
    remaining_cost: u64,
    waits: VecDeque<u32>,
    // Until when free positions in the queue are promised to callers who were refused.
    promised_until: Option<Instant>,
}

impl Account {
    /// Weighted service in tokens.
    pub fn weighted_service(&self) -> u64 {
        self.weighted_millitokens / MILLITOKENS_PER_TOKEN
    }

    /// What still waited after the last decision.
    pub fn waiting(&self) -> Waiting {
        Waiting {
            cost: self.remaining_cost,
            weight: self.weight,
        }
    }

    /// Records how long a request waited.
    pub fn record_wait(&mut self, wait: Duration) {
        if self.waits.len() == MAX_WAITS {
            self.waits.pop_front();
        }
        self.waits.push_back(millis(wait));
    }

    /// Delay after which a refused caller should find a free position in the queue.
    ///
    /// Each further caller who is refused gets a delay that is longer by one `interval`.
    pub fn next_retry_delay(&mut self, now: Instant, interval: Duration) -> Duration {
        let start = self
            .promised_until
            .filter(|promised_until| *promised_until > now)
            .unwrap_or(now);
        let limit = now + MAX_RETRY_DELAY;
        let promised_until = (start + interval).min(limit);
        self.promised_until = Some(promised_until);
        promised_until.saturating_duration_since(now)
    }

    /// Percentile of the latest waits, in ms.
    pub fn wait_percentile(&self, percent: usize) -> u32 {
        let mut waits: Vec<u32> = self.waits.iter().copied().collect();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1);
        waits.get(last * percent / 100).copied().unwrap_or(0)
    }
}

/// The organisations of a pool, and the backlogged ones by weighted service.
#[derive(Debug, Default)]
pub struct Accounts {
    list: Vec<Account>,
    // Sorted by id.
    keys_by_id: Vec<(CompactString, AccountKey)>,
    // Sorted; the least served first.
    backlogged: Vec<(u64, AccountKey)>,
    // Highest weighted service at which an organisation was granted a slot.
    service_floor: u64,
}

impl Accounts {
    /// Returns the key of an organisation, which is added with weight 1 if it is new.
    pub fn intern(&mut self, id: &str) -> AccountKey {
        match self.search(id) {
            Ok(index) => self.keys_by_id[index].1,
            Err(index) => {
                let key = AccountKey(u32::try_from(self.list.len()).unwrap_or(u32::MAX));
                self.list.push(Account {
                    id: id.into(),
                    weight: 1,
                    queue_limit: 0,
                    weighted_millitokens: 0,
                    tokens: 0,
                    running: 0,
                    refused: 0,
                    cost: CostModel::default(),
                    queue: Queue::default(),
                    remaining_cost: 0,
                    waits: VecDeque::new(),
                    promised_until: None,
                });
                self.keys_by_id.insert(index, (id.into(), key));
                key
            }
        }
    }

    /// Applies the weights and queue limits of organisations, which are sorted by id.
    pub fn configure(&mut self, organisations: &[Organisation]) {
        for organisation in organisations {
            let key = self.intern(&organisation.id);
            let account = self.get_mut(key);
            account.weight = organisation.weight.max(1);
            account.queue_limit = organisation.queue_limit;
        }
    }

    /// Finds the key of an organisation that is known.
    pub fn find(&self, id: &str) -> Option<AccountKey> {
        let index = self.search(id).ok()?;
        Some(self.keys_by_id[index].1)
    }

    pub fn get(&self, key: AccountKey) -> &Account {
        &self.list[key.0 as usize]
    }

    pub fn get_mut(&mut self, key: AccountKey) -> &mut Account {
        &mut self.list[key.0 as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.keys_by_id.iter().map(|(_, key)| self.get(*key))
    }

    /// The backlogged organisation at this position; the least served one is at 0.
    pub fn backlogged(&self, position: usize) -> Option<AccountKey> {
        self.backlogged.get(position).map(|(_, key)| *key)
    }

    /// Whether any organisation has waiting requests.
    pub fn has_backlog(&self) -> bool {
        !self.backlogged.is_empty()
    }

    /// The backlogged organisations, the least served first.
    pub fn backlogged_keys(&self) -> impl Iterator<Item = AccountKey> + '_ {
        self.backlogged.iter().map(|(_, key)| *key)
    }

    /// Number of backlogged organisations.
    pub fn backlogged_count(&self) -> usize {
        self.backlogged.len()
    }

    /// Records what each organisation still has waiting after a decision.
    pub fn record_remaining(&mut self) {
        for account in &mut self.list {
            account.remaining_cost = account.queue.cost();
        }
    }

    /// Costs that are granted until all that an organisation had waiting after the last decision is.
    pub fn cost_until_served(&self, key: AccountKey) -> u64 {
        let own = self.get(key).waiting();
        if own.cost == 0 {
            return 0;
        }
        let others = self.backlogged_keys().filter(|other| *other != key);
        cost_until_served(own, others.map(|other| self.get(other).waiting()))
    }

    /// Weighted service, in tokens, by which an organisation is behind the most served backlogged one.
    pub fn service_gap(&self, key: AccountKey) -> u64 {
        let most = self
            .backlogged
            .last()
            .map_or(0, |(weighted_millitokens, _)| *weighted_millitokens);
        most.saturating_sub(self.get(key).weighted_millitokens) / MILLITOKENS_PER_TOKEN
    }

    /// Highest weighted service at which an organisation was granted a slot.
    pub fn service_floor(&self) -> u64 {
        self.service_floor
    }

    /// Adds an organisation to the backlogged ones and raises its weighted service to at least `start`.
    ///
    /// An organisation earns no credit while it is idle.
    pub fn enter_backlog(&mut self, key: AccountKey, start: u64) {
        if self.position(key).is_ok() {
            return;
        }
        let account = self.get_mut(key);
        account.weighted_millitokens = account.weighted_millitokens.max(start);
        let entry = (account.weighted_millitokens, key);
        let index = self.backlogged.partition_point(|other| *other < entry);
        self.backlogged.insert(index, entry);
    }

    /// Removes an organisation from the backlogged ones if its queue is empty.
    pub fn leave_backlog_if_empty(&mut self, key: AccountKey) {
        if !self.get(key).queue.is_empty() {
            return;
        }
        if let Ok(index) = self.position(key) {
            self.backlogged.remove(index);
        }
    }

    /// Adds service, in tokens.
    pub fn charge(&mut self, key: AccountKey, tokens: u64) {
        let weight = u64::from(self.get(key).weight.max(1));
        let weighted_millitokens = self.get(key).weighted_millitokens;
        self.set_weighted_millitokens(
            key,
            weighted_millitokens
                .saturating_add(tokens.saturating_mul(MILLITOKENS_PER_TOKEN) / weight),
        );
    }

    /// Takes back service, in tokens, that was charged in advance and not used.
    pub fn refund(&mut self, key: AccountKey, tokens: u64) {
        let weight = u64::from(self.get(key).weight.max(1));
        let weighted_millitokens = self.get(key).weighted_millitokens;
        self.set_weighted_millitokens(
            key,
            weighted_millitokens
                .saturating_sub(tokens.saturating_mul(MILLITOKENS_PER_TOKEN) / weight),
        );
    }

    /// Records that an organisation is about to be granted a slot.
    pub fn record_grant(&mut self, key: AccountKey) {
        self.service_floor = self.service_floor.max(self.get(key).weighted_millitokens);
    }

    fn set_weighted_millitokens(&mut self, key: AccountKey, weighted_millitokens: u64) {
        let position = self.position(key);
        self.get_mut(key).weighted_millitokens = weighted_millitokens;
        if let Ok(index) = position {
            self.backlogged.remove(index);
            let entry = (weighted_millitokens, key);
            let index = self.backlogged.partition_point(|other| *other < entry);
            self.backlogged.insert(index, entry);
        }
    }

    fn position(&self, key: AccountKey) -> Result<usize, usize> {
        self.backlogged
            .binary_search(&(self.get(key).weighted_millitokens, key))
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.keys_by_id
            .binary_search_by(|(name, _)| name.as_str().cmp(id))
    }
}
