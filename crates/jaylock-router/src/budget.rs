use std::cell::{Cell, RefCell};

use compact_str::CompactString;
use jaylock_rpc::v1::Configuration;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1000;
/// Divisor of the fleet's burst, which keeps half in reserve for routers that restart.
const RESERVE_DIVISOR: u64 = 2;
/// Number of routers assumed while the configuration is unknown.
const ASSUMED_ROUTERS: u64 = 1000;

/// Limits the retries of each organisation or service to a fraction of its requests.
///
/// A balance starts full, every request adds to it and every retry withdraws from it. When many
/// backend servers fail, retries therefore can't multiply the load.
#[derive(Debug)]
pub struct RetryBudget {
    /// Largest balance, in thousandths of a retry.
    burst: Cell<u64>,
    /// Deposit for each request, in thousandths of a retry.
    request_deposit: u64,
    /// Balance of each name in thousandths of a retry, sorted by name.
    balances: RefCell<Vec<(CompactString, u64)>>,
}

impl RetryBudget {
    /// Allows `burst` retries at once and deposits `permille` thousandths of one with each request.
    #[must_use]
    pub fn new(burst: u32, permille: u32) -> Self {
        Self {
            burst: Cell::new(u64::from(burst) * RETRY_COST),
            request_deposit: u64::from(permille),
            balances: RefCell::default(),
        }
    }

    /// Adds the deposit for one request.
    pub fn deposit(&self, name: &str) {
        // Deposits must add up to one retry even when the burst is smaller.
        let max = match self.burst.get() {
            0 => 0,
            burst => burst.max(RETRY_COST),
        };
        self.change(name, |balance| (balance + self.request_deposit).min(max));
    }

    /// Withdraws one retry; returns false when the budget is exhausted.
    #[must_use]
    pub fn try_withdraw(&self, name: &str) -> bool {
        let mut is_allowed = false;
        self.change(name, |balance| {
            is_allowed = balance >= RETRY_COST;
            if is_allowed {
                balance - RETRY_COST
            } else {
                balance
            }
        });
        is_allowed
    }

    /// Whether the budget has a retry left.
    #[must_use]
    pub fn can_withdraw(&self, name: &str) -> bool {
        let mut is_allowed = false;
        self.change(name, |balance| {
            is_allowed = balance >= RETRY_COST;
            balance
        });
        is_allowed
    }

    fn change(&self, name: &str, change: impl FnOnce(u64) -> u64) {
        let mut balances = self.balances.borrow_mut();
        let search = balances.binary_search_by(|e| e.0.as_str().cmp(name));
        let position = search.unwrap_or_else(|position| {
            balances.insert(position, (name.into(), self.burst.get()));
            position
        });
        balances[position].1 = change(balances[position].1);
    }

    /// Sets the burst, in thousandths of a retry, and lowers the balances above a smaller one.
    fn set_burst(&self, burst: u64) {
        if self.burst.replace(burst) <= burst {
            return;
        }
        for (_, balance) in self.balances.borrow_mut().iter_mut() {
            *balance = (*balance).min(burst.max(RETRY_COST));
        }
    }
}

/// This router's share of the retry budget that a service has across all routers of the fleet.
///
/// The fleet's burst is divided evenly among the routers that the configuration lists. Half of the
/// burst stays in reserve, because a router that restarts begins with a full balance.
#[derive(Debug)]
pub struct FleetBudget {
    retries: RetryBudget,
    fleet_burst: u32,
    /// Number of routers that share the burst; 0 before the first division.
    routers: Cell<u64>,
    /// Index of the configuration that was applied last.
    index: Cell<u64>,
}

impl FleetBudget {
    /// Allows `fleet_burst` retries at once over all routers, and deposits `permille` thousandths of
    /// one with each request.
    #[must_use]
    pub fn new(fleet_burst: u32, permille: u32) -> Self {
        let budget = Self {
            retries: RetryBudget::new(0, permille),
            fleet_burst,
            routers: Cell::default(),
            index: Cell::default(),
        };
        budget.divide_among(ASSUMED_ROUTERS);
        budget
    }

    /// Divides the burst again when a new configuration changes the number of routers.
    pub fn update(&self, configuration: &Configuration) {
        if self.index.replace(configuration.index) == configuration.index {
            return;
        }
        let instances = configuration.instances.iter();
        let routers = instances.filter(|i| !i.caller_address.is_empty()).count();
        self.divide_among(u64::try_from(routers.max(1)).unwrap_or(ASSUMED_ROUTERS));
    }

    /// Adds the deposit for one request to a service.
    pub fn deposit(&self, service: &str) {
        self.retries.deposit(service);
    }

    /// Withdraws one retry; returns false when this router's share is exhausted.
    #[must_use]
    pub fn try_withdraw(&self, service: &str) -> bool {
        self.retries.try_withdraw(service)
    }

    /// Whether the budget has a retry left.
    #[must_use]
    pub fn can_withdraw(&self, service: &str) -> bool {
        self.retries.can_withdraw(service)
    }

    fn divide_among(&self, routers: u64) {
        if self.routers.replace(routers) == routers {
            return;
        }
        let burst = u64::from(self.fleet_burst) * RETRY_COST / RESERVE_DIVISOR / routers;
        self.retries.set_burst(burst);
    }
}
