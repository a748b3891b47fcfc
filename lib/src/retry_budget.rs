//! Limits retries to a fraction of first attempts, so that a failure never multiplies the load.

/// Maximum number of saved retries; allows a box with little traffic to retry after a loss, but not
/// many times.
const MAX_BALANCE: f64 = 10.0;

/// Budget of retries: each first attempt adds a fraction of a retry, and each retry spends one.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds `percent` of a retry.
    pub fn deposit(&mut self, percent: u64) {
        self.balance = (self.balance + percent as f64 / 100.0).min(MAX_BALANCE);
    }

    /// Spends one retry if the budget has one; returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
