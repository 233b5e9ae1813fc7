use std::cell::{Cell, RefCell};

use compact_str::CompactString;
use jaylock_rpc::v1::Configuration;

/// Parts of one retry that a balance counts in.
const RETRY: u64 = 1000;
/// Divisor of the fleet's retries that leaves room for routers that start anew.
const KEPT_BACK: u64 = 2;
/// Routers that are assumed while the configuration is not known.
const MOST_ROUTERS: u64 = 1000;

/// Limits the retries of each organisation or service to a share of its requests.
///
/// A balance starts full, every request adds to it and every retry takes one from it, so that a
/// failure of many backend servers is not met with a multiple of the work.
#[derive(Debug)]
pub struct RetryBudget {
    // Thousandths of a retry, as everything here.
    burst: Cell<u64>,
    earning: u64,
    balances: RefCell<Vec<(CompactString, u64)>>,
}

impl RetryBudget {
    /// Allows `burst` retries at once and earns `permille` thousandths of one with each request.
    #[must_use]
    pub fn new(burst: u32, permille: u32) -> Self {
        Self {
            burst: Cell::new(u64::from(burst) * RETRY),
            earning: u64::from(permille),
            balances: RefCell::default(),
        }
    }

    /// Counts a request.
    pub fn deposit(&self, name: &str) {
        // A burst below one retry must still be able to earn one.
        let most = match self.burst.get() {
            0 => 0,
            burst => burst.max(RETRY),
        };
        self.change(name, |balance| (balance + self.earning).min(most));
    }

    /// Takes one retry; false when the budget is spent.
    #[must_use]
    pub fn try_withdraw(&self, name: &str) -> bool {
        let mut allowed = false;
        self.change(name, |balance| {
            allowed = balance >= RETRY;
            if allowed { balance - RETRY } else { balance }
        });
        allowed
    }

    /// Whether a retry would be allowed.
    #[must_use]
    pub fn can_withdraw(&self, name: &str) -> bool {
        let mut allowed = false;
        self.change(name, |balance| {
            allowed = balance >= RETRY;
            balance
        });
        allowed
    }

    fn change(&self, name: &str, change: impl FnOnce(u64) -> u64) {
        let mut balances = self.balances.borrow_mut();
        let found = balances.binary_search_by(|e| e.0.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            balances.insert(at, (name.into(), self.burst.get()));
            at
        });
        balances[at].1 = change(balances[at].1);
    }

    /// Allows another burst from now on, in thousandths of a retry.
    fn set_burst(&self, burst: u64) {
        if self.burst.replace(burst) <= burst {
            return;
        }
        for (_, balance) in self.balances.borrow_mut().iter_mut() {
            *balance = (*balance).min(burst.max(RETRY));
        }
    }
}

/// This router's part of the retries that a service may get from all routers of the fleet.
///
/// What all may make at once is divided evenly among the routers that the configuration lists. Half of it is
/// kept back, because a router that starts anew begins with a full part.
#[derive(Debug)]
pub struct FleetBudget {
    retries: RetryBudget,
    fleet_burst: u32,
    /// Routers among which it is divided; 0 before the first division.
    routers: Cell<u64>,
    /// Index of the configuration that was looked at last.
    index: Cell<u64>,
}

impl FleetBudget {
    /// Allows `fleet_burst` retries at once over all routers, and `permille` thousandths of one with each request.
    #[must_use]
    pub fn new(fleet_burst: u32, permille: u32) -> Self {
        let budget = Self {
            retries: RetryBudget::new(0, permille),
            fleet_burst,
            routers: Cell::default(),
            index: Cell::default(),
        };
        budget.divide_among(MOST_ROUTERS);
        budget
    }

    /// Divides it anew where the configuration lists other routers than before.
    pub fn update(&self, configuration: &Configuration) {
        if self.index.replace(configuration.index) == configuration.index {
            return;
        }
        let instances = configuration.instances.iter();
        let routers = instances.filter(|i| !i.caller_address.is_empty()).count();
        self.divide_among(u64::try_from(routers.max(1)).unwrap_or(MOST_ROUTERS));
    }

    /// Counts a request for a service.
    pub fn deposit(&self, service: &str) {
        self.retries.deposit(service);
    }

    /// Takes one retry; false when this router's part is spent.
    #[must_use]
    pub fn try_withdraw(&self, service: &str) -> bool {
        self.retries.try_withdraw(service)
    }

    /// Whether a retry would be allowed.
    #[must_use]
    pub fn can_withdraw(&self, service: &str) -> bool {
        self.retries.can_withdraw(service)
    }

    fn divide_among(&self, routers: u64) {
        if self.routers.replace(routers) == routers {
            return;
        }
        let burst = u64::from(self.fleet_burst) * RETRY / KEPT_BACK / routers;
        self.retries.set_burst(burst);
    }
}
