use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::cost::{CostModel, Mean};
use crate::queue::Queue;

/// Parts of a token in which weighted service is counted.
const PARTS: u64 = 1000;
/// Waits that are remembered for each organisation.
const MOST_WAITS: usize = 128;
/// Microseconds between two grants that are assumed while none was seen.
const UNKNOWN_INTERVAL: u64 = 20_000;
/// Longest time between two grants that counts, so that an outage is soon forgotten.
const LONGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which places in a queue are promised ahead.
const LONGEST_PROMISE: Duration = Duration::from_mins(1);

/// Position of an organisation in the accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AccountKey(u32);

/// What the scheduler knows of one organisation.
#[derive(Debug)]
pub struct Account {
    pub id: CompactString,
    pub weight: u32,
    pub queue_limit: u32,
    /// Weighted service, in thousandths of a token for one unit of weight.
    pub level: u64,
    pub tokens: u64,
    pub running: u32,
    pub refused: u64,
    pub cost: CostModel,
    pub queue: Queue,
    /// Requests that still waited after the last decision.
    pub left: usize,
    waits: VecDeque<u32>,
    // Until when the places that become free are promised to callers who were refused.
    promised: Option<Instant>,
}

impl Account {
    /// Weighted service in tokens.
    pub fn weighted_service(&self) -> u64 {
        self.level / PARTS
    }

    /// Remembers how long a request waited.
    pub fn waited(&mut self, wait: Duration) {
        if self.waits.len() == MOST_WAITS {
            self.waits.pop_front();
        }
        self.waits
            .push_back(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
    }

    /// Time after which a refused caller finds a place in the queue.
    ///
    /// Each caller who is refused meanwhile is told a later time, one `interval` after the other.
    pub fn next_place(&mut self, now: Instant, interval: Duration) -> Duration {
        let start = self
            .promised
            .filter(|promised| *promised > now)
            .unwrap_or(now);
        let limit = now + LONGEST_PROMISE;
        let promised = (start + interval).min(limit);
        self.promised = Some(promised);
        promised.saturating_duration_since(now)
    }

    /// Wait in ms that `percent` in 100 of the last requests did not exceed.
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
    // Sorted by name.
    names: Vec<(CompactString, AccountKey)>,
    // Sorted; the least served first.
    backlogged: Vec<(u64, AccountKey)>,
    // Weighted service of the last one that was granted a slot.
    floor: u64,
    // Microseconds between two grants of any organisation while work waits.
    interval: Mean,
    last_grant: Option<Instant>,
}

impl Accounts {
    /// The key of an organisation, which is added with weight 1 when it is new.
    pub fn intern(&mut self, id: &str) -> AccountKey {
        match self.search(id) {
            Ok(at) => self.names[at].1,
            Err(at) => {
                let key = AccountKey(u32::try_from(self.list.len()).unwrap_or(u32::MAX));
                self.list.push(Account {
                    id: id.into(),
                    weight: 1,
                    queue_limit: 0,
                    level: 0,
                    tokens: 0,
                    running: 0,
                    refused: 0,
                    cost: CostModel::default(),
                    queue: Queue::default(),
                    left: 0,
                    waits: VecDeque::new(),
                    promised: None,
                });
                self.names.insert(at, (id.into(), key));
                key
            }
        }
    }

    pub fn get(&self, key: AccountKey) -> &Account {
        &self.list[key.0 as usize]
    }

    pub fn get_mut(&mut self, key: AccountKey) -> &mut Account {
        &mut self.list[key.0 as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.names.iter().map(|(_, key)| self.get(*key))
    }

    /// The backlogged organisation at this place, the least served one at 0.
    pub fn backlogged(&self, position: usize) -> Option<AccountKey> {
        self.backlogged.get(position).map(|(_, key)| *key)
    }

    /// Whether any organisation has work waiting.
    pub fn has_backlog(&self) -> bool {
        !self.backlogged.is_empty()
    }

    /// The backlogged organisations, the least served first.
    pub fn backlogged_keys(&self) -> impl Iterator<Item = AccountKey> + '_ {
        self.backlogged.iter().map(|(_, key)| *key)
    }

    /// How many organisations are backlogged.
    pub fn backlog(&self) -> usize {
        self.backlogged.len()
    }

    /// Notes how many requests of each organisation a decision left waiting.
    ///
    /// The time between two grants counts only where work waited all the while.
    pub fn note_left(&mut self) {
        for account in &mut self.list {
            account.left = account.queue.len();
        }
        if self.backlogged.is_empty() {
            self.last_grant = None;
        }
    }

    /// Weighted service, in tokens, by which a backlogged organisation is behind the most served one.
    pub fn gap(&self, key: AccountKey) -> u64 {
        let most = self.backlogged.last().map_or(0, |(level, _)| *level);
        most.saturating_sub(self.get(key).level) / PARTS
    }

    /// Expected time between two grants of one organisation, when all that wait take turns.
    pub fn turn_interval(&self) -> Duration {
        let turns = u32::try_from(self.backlogged.len()).unwrap_or(u32::MAX);
        Duration::from_micros(self.interval.or(UNKNOWN_INTERVAL)) * turns.max(1)
    }

    /// Weighted service of the organisation that was granted a slot most lately.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Counts an organisation among the backlogged, with no less service than `start`.
    ///
    /// Time without work earns no credit.
    pub fn join_backlog(&mut self, key: AccountKey, start: u64) {
        if self.position(key).is_ok() {
            return;
        }
        let account = self.get_mut(key);
        account.level = account.level.max(start);
        let entry = (account.level, key);
        let at = self.backlogged.partition_point(|other| *other < entry);
        self.backlogged.insert(at, entry);
    }

    /// Takes an organisation from the backlogged when its queue is empty.
    pub fn leave_backlog(&mut self, key: AccountKey) {
        if !self.get(key).queue.is_empty() {
            return;
        }
        if let Ok(at) = self.position(key) {
            self.backlogged.remove(at);
        }
    }

    /// Adds service in tokens.
    pub fn charge(&mut self, key: AccountKey, tokens: u64) {
        let weight = u64::from(self.get(key).weight.max(1));
        let level = self.get(key).level;
        self.set_level(
            key,
            level.saturating_add(tokens.saturating_mul(PARTS) / weight),
        );
    }

    /// Takes back service in tokens that was expected and did not come.
    pub fn refund(&mut self, key: AccountKey, tokens: u64) {
        let weight = u64::from(self.get(key).weight.max(1));
        let level = self.get(key).level;
        self.set_level(
            key,
            level.saturating_sub(tokens.saturating_mul(PARTS) / weight),
        );
    }

    /// Notes that an organisation is about to be granted a slot.
    pub fn note_grant(&mut self, key: AccountKey, now: Instant) {
        self.floor = self.floor.max(self.get(key).level);
        let Some(before) = self.last_grant.replace(now) else {
            return;
        };
        let interval = now.saturating_duration_since(before).min(LONGEST_INTERVAL);
        let interval = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        self.interval.add(interval);
    }

    fn set_level(&mut self, key: AccountKey, level: u64) {
        let position = self.position(key);
        self.get_mut(key).level = level;
        if let Ok(at) = position {
            self.backlogged.remove(at);
            let entry = (level, key);
            let at = self.backlogged.partition_point(|other| *other < entry);
            self.backlogged.insert(at, entry);
        }
    }

    fn position(&self, key: AccountKey) -> Result<usize, usize> {
        self.backlogged.binary_search(&(self.get(key).level, key))
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.names
            .binary_search_by(|(name, _)| name.as_str().cmp(id))
    }
}
