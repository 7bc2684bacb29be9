//! Connections that are opened ahead of demand: how many the recent use of a backend calls for, and at which rate they
//! are opened.

use super::settings::PoolSettings;
use std::time::Duration;
use tokio::time::Instant;

/// The time constant of the exponential decay of recent use.
const AVERAGING_TIME_S: f64 = 10.0;

/// The recent use of one backend.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentUse {
    /// The number of requests, decayed exponentially.
    requests: f64,
    /// The peak of concurrent requests, decayed at the same rate.
    peak: f64,
    last_request: Option<Instant>,
}

impl RecentUse {
    /// Returns the decay factor since the last request.
    fn decay(&self, now: Instant) -> f64 {
        self.last_request.map_or(0.0, |at| {
            let elapsed_s = now.saturating_duration_since(at).as_secs_f64();
            (-elapsed_s / AVERAGING_TIME_S).exp()
        })
    }

    /// Records a request. `concurrent` is the number of requests at the backend or waiting for it, including this one.
    pub(super) fn record(&mut self, now: Instant, concurrent: usize) {
        let decay = self.decay(now);
        self.requests = self.requests * decay + 1.0;
        self.peak = (self.peak * decay).max(concurrent as f64);
        self.last_request = Some(now);
    }

    /// Returns when the backend was used last.
    pub(super) fn last_request(&self) -> Option<Instant> {
        self.last_request
    }

    /// Returns how many connections recent use calls for: the decayed peak of concurrent requests, or 0 if requests are
    /// so rare that an idle connection would not be used within `idle_time`, after which it may be retired.
    pub(super) fn wanted_connections(&self, now: Instant, idle_time: Duration) -> usize {
        let decay = self.decay(now);
        let requests_per_s = self.requests * decay / AVERAGING_TIME_S;
        if requests_per_s * idle_time.as_secs_f64() < 1.0 {
            return 0;
        }
        (self.peak * decay).round() as usize
    }
}

/// A token bucket that limits the rate of all connections opened ahead of demand.
#[derive(Debug)]
pub(super) struct PreconnectBucket {
    tokens: f64,
    filled_at: Option<Instant>,
}

impl PreconnectBucket {
    /// Creates a bucket with `tokens` tokens. The caller chooses the number at random, so that gateways that start
    /// together do not all have a full bucket.
    pub(super) fn new(tokens: f64) -> PreconnectBucket {
        PreconnectBucket { tokens, filled_at: None }
    }

    /// Takes a token if one is available.
    pub(super) fn try_take(&mut self, now: Instant, settings: &PoolSettings) -> bool {
        let filled_at = self.filled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(filled_at).as_secs_f64();
        let filled = self.tokens + elapsed_s * settings.preconnects_per_s as f64;
        self.tokens = filled.min(settings.preconnect_burst as f64);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
