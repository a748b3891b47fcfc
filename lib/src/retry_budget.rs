//! Bounds repeats to a share of first attempts, so that a fault never multiplies load.

/// Repeats saved up at most; lets a quiet box repeat after one loss without letting many.
const MAX_BALANCE: f64 = 10.0;

/// Earns a fraction of a repeat with each first attempt and spends whole ones.
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
    /// Counts a first attempt; `percent` is the setting.
    pub fn deposit(&mut self, percent: u64) {
        self.balance = (self.balance + percent as f64 / 100.0).min(MAX_BALANCE);
    }

    /// Takes one repeat, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
