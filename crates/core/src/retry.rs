//! Budget of retries.
//!
//! Each first attempt earns a fraction of a retry, and each retry spends one. When everything
//! fails, retries stay a fixed fraction of the first attempts, so a retry storm dies out.

/// Retries left to a process.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries earned by each first attempt.
    ratio: f64,
    /// Most retries that may be saved up.
    most: f64,
    balance: f64,
}

impl RetryBudget {
    /// Budget that earns `ratio` retries for each first attempt and saves up to `most`.
    pub fn new(ratio: f64, most: u32) -> Self {
        let most = f64::from(most);
        Self { ratio, most, balance: most }
    }

    /// Earns for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.most);
    }

    /// Spends one retry; `false` where none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
