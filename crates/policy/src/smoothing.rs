//! Smoothing of samples: exponentially weighted averages, decaying ratios and decaying rates.

use crate::Micros;

/// Weight of the newest sample in averages over the attempts at one backend.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in averages over all requests at a gateway.
pub(crate) const SLOW_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 3.0;

/// Updates an exponentially weighted average with a sample of the given weight.
pub(crate) fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// Updates an exponentially weighted average of positive samples. The first sample becomes the average.
pub(crate) fn update_positive_average(average: &mut f64, sample: f64, weight: f64) {
    if *average == 0.0 {
        *average = sample;
    } else {
        update_average(average, sample, weight);
    }
}

/// The ratio of two sums of recent samples. Both sums are halved whenever `total` exceeds `span`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRatio {
    part: f64,
    total: f64,
    span: f64,
}

impl DecayingRatio {
    pub(crate) fn new(span: f64) -> DecayingRatio {
        DecayingRatio { span, ..DecayingRatio::default() }
    }

    /// Adds to both sums.
    pub(crate) fn add(&mut self, part: f64, total: f64) {
        self.part += part;
        self.total += total;
        if self.total > self.span {
            self.part /= 2.0;
            self.total /= 2.0;
        }
    }

    /// Returns the ratio, or a default until something was added to the total.
    pub(crate) fn ratio_or(&self, default: f64) -> f64 {
        if self.total > 0.0 {
            self.part / self.total
        } else {
            default
        }
    }

    /// Returns the ratio that results if the total also included `prior_total`.
    pub(crate) fn ratio_with_prior(&self, prior_total: f64) -> f64 {
        self.part / (self.total + prior_total)
    }
}

/// An exponentially decaying rate of recent units per second.
#[derive(Debug, Clone, Default)]
pub(crate) struct DecayingRate {
    units: f64,
    updated_at: Micros,
}

/// Time constant of the decay.
const RATE_SPAN_SECONDS: f64 = 2.0;

impl DecayingRate {
    /// Returns the rate in units per second.
    pub(crate) fn per_second(&self, now: Micros) -> f64 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.units / RATE_SPAN_SECONDS * (-elapsed / RATE_SPAN_SECONDS).exp()
    }

    /// Adds units.
    pub(crate) fn add(&mut self, now: Micros, units: f64) {
        self.units = self.per_second(now) * RATE_SPAN_SECONDS + units;
        self.updated_at = now;
    }
}
