//! Bounds repeats to a share of first attempts, so that a fault never multiplies load.

/// Repeats saved up at most; lets a quiet box repeat after one loss without letting many.
const MOST_SAVED: f64 = 10.0;

/// Earns a fraction of a repeat with each first attempt and spends whole ones.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt; `percent` is the setting.
    pub fn earn(&mut self, percent: u64) {
        self.saved = (self.saved + percent as f64 / 100.0).min(MOST_SAVED);
    }

    /// Takes one repeat, if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
