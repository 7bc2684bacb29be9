//! The retry budget: bounds retries to a share of all requests, so that retries do not multiply the load when requests
//! fail at every backend.

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Capacity of the budget, in retries.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// The retries available to this gateway.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn full() -> RetryBudget {
        RetryBudget { available: MAX_SAVED_RETRIES }
    }

    /// Adds one request's share of a retry to the budget.
    pub(crate) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Withdraws one retry if one is available. Returns whether it did.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let enough = self.available >= 1.0;
        if enough {
            self.available -= 1.0;
        }
        enough
    }
}
