use std::cell::RefCell;

use compact_str::CompactString;

/// Parts of one retry that a balance counts in.
const RETRY: u64 = 1000;

/// Limits the retries of each organisation or service to a share of its requests.
///
/// A balance starts full, every request adds to it and every retry takes one from it, so that a
/// failure of many backend servers is not met with a multiple of the work.
#[derive(Debug)]
pub struct RetryBudget {
    burst: u64,
    earning: u64,
    balances: RefCell<Vec<(CompactString, u64)>>,
}

impl RetryBudget {
    /// Allows `burst` retries at once and earns `permille` thousandths of one with each request.
    #[must_use]
    pub fn new(burst: u32, permille: u32) -> Self {
        Self {
            burst: u64::from(burst) * RETRY,
            earning: u64::from(permille),
            balances: RefCell::default(),
        }
    }

    /// Counts a request.
    pub fn earn(&self, name: &str) {
        let burst = self.burst;
        self.change(name, |balance| (balance + self.earning).min(burst));
    }

    /// Takes one retry; false when the budget is spent.
    #[must_use]
    pub fn spend(&self, name: &str) -> bool {
        let mut allowed = false;
        self.change(name, |balance| {
            allowed = balance >= RETRY;
            if allowed { balance - RETRY } else { balance }
        });
        allowed
    }

    fn change(&self, name: &str, change: impl FnOnce(u64) -> u64) {
        let mut balances = self.balances.borrow_mut();
        let found = balances.binary_search_by(|e| e.0.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            balances.insert(at, (name.into(), self.burst));
            at
        });
        balances[at].1 = change(balances[at].1);
    }
}
