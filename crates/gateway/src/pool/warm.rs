//! Warm-up: how much of a backend the gateway used of late, and how fast connections are opened ahead of need.

use super::settings::PoolSettings;
use std::time::Duration;
use tokio::time::Instant;

/// Use is averaged over about this time.
const SPAN: f64 = 10.0;

/// The recent use of one backend.
#[derive(Debug, Clone, Default)]
pub struct Recent {
    /// Requests, each counting less as it ages.
    requests: f64,
    /// The most at once, forgotten at the same pace.
    peak: f64,
    at: Option<Instant>,
}

impl Recent {
    fn left(&self, now: Instant) -> f64 {
        self.at.map_or(0.0, |at| (-now.saturating_duration_since(at).as_secs_f64() / SPAN).exp())
    }

    /// A request wants a connection; with it so many are at the backend.
    pub fn note(&mut self, now: Instant, at_once: usize) {
        let left = self.left(now);
        self.requests = self.requests * left + 1.0;
        self.peak = (self.peak * left).max(at_once as f64);
        self.at = Some(now);
    }

    /// When it was used last.
    pub fn last(&self) -> Option<Instant> {
        self.at
    }

    /// How many connections recent use asks for: as many as were in use at once, if one that stands idle would
    /// be used before its age is at an end.
    pub fn wants(&self, now: Instant, idle: Duration) -> usize {
        let left = self.left(now);
        let a_second = self.requests * left / SPAN;
        if a_second * idle.as_secs_f64() < 1.0 {
            return 0;
        }
        (self.peak * left).round() as usize
    }
}

/// A token bucket over all connections opened ahead of need.
#[derive(Debug)]
pub struct Pace {
    tokens: f64,
    at: Option<Instant>,
}

impl Pace {
    /// Starts with so many tokens. Gateways that start together should not all start full.
    pub fn new(tokens: f64) -> Pace {
        Pace { tokens, at: None }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Instant, set: &PoolSettings) -> bool {
        let since = self.at.replace(now).map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let filled = self.tokens + since.as_secs_f64() * set.warm_per_s as f64;
        self.tokens = filled.min(set.warm_burst as f64);
        let enough = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(enough));
        enough
    }
}
