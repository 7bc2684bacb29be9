//! This gateway's side of a count that all gateways add to on the counter service.

/// One gateway's side of a customer's shared count in one period. Amounts are units, or concurrent requests.
#[derive(Debug, Default)]
pub(super) struct SharedCount {
    /// The index of the window or concurrency period.
    pub(super) period: u64,
    /// Amounts of this gateway that the counter has confirmed.
    pub(super) counted: f64,
    /// Amounts of this gateway that are still to be sent.
    pub(super) unsent: f64,
    /// The part of `unsent` that was forwarded unverified.
    pub(super) unsent_unverified: f64,
    /// Previously unsent amounts that pending calls carry, excluding the amounts of the calls' own requests.
    pub(super) in_transit: f64,
    /// The total in the counter's last reply.
    pub(super) last_total: f64,
}

impl SharedCount {
    pub(super) fn new(period: u64) -> SharedCount {
        SharedCount { period, ..SharedCount::default() }
    }

    /// Returns the last total plus this gateway's amounts that it does not include yet.
    pub(super) fn known_total(&self) -> f64 {
        self.last_total + self.unsent + self.in_transit
    }

    /// Returns this gateway's own amounts, sent or not.
    pub(super) fn own_amount(&self) -> f64 {
        self.counted + self.in_transit + self.unsent
    }

    /// Returns this gateway's amounts that no reply includes yet.
    pub(super) fn pending(&self) -> f64 {
        self.unsent + self.in_transit
    }

    /// Moves all unsent amounts into a call.
    pub(super) fn start_call(&mut self) -> CarriedAmount {
        let amount = std::mem::take(&mut self.unsent);
        self.in_transit += amount;
        CarriedAmount { amount, unverified: std::mem::take(&mut self.unsent_unverified) }
    }

    /// Records that a call ended, whatever its outcome.
    pub(super) fn end_call(&mut self, carried: CarriedAmount) {
        self.in_transit -= carried.amount;
    }

    /// Restores the amounts of a call that the counter never executed, so that they are sent again.
    pub(super) fn restore(&mut self, carried: CarriedAmount) {
        self.unsent += carried.amount;
        self.unsent_unverified += carried.unverified;
    }
}

/// The previously unsent amount that a counter call carries besides the amount of its own request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CarriedAmount {
    pub(super) amount: f64,
    /// The part of `amount` that was forwarded unverified.
    pub(super) unverified: f64,
}
