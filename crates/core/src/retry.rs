//! Retry budget.
//!
//! Each first attempt deposits a fraction of a retry into the budget, and each retry withdraws one.
//! Even if everything fails, retries stay a fixed fraction of the first attempts, which prevents a
//! retry storm.

/// Retries that a process may still send.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries deposited by each first attempt.
    ratio: f64,
    /// Maximum number of unused retries.
    max_balance: f64,
    balance: f64,
}

impl RetryBudget {
    /// Full budget of `max_balance` retries, to which each first attempt adds `ratio`.
    pub fn new(ratio: f64, max_balance: u32) -> Self {
        let max_balance = f64::from(max_balance);
        Self { ratio, max_balance, balance: max_balance }
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max_balance);
    }

    /// Withdraws one retry; returns `false` if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
