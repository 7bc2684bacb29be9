//! How many connections one backend bears from this gateway. The number is told nowhere, and other gateways
//! have theirs: it is felt for by additive increase and multiplicative decrease.

use super::settings::PoolSettings;
use std::time::Duration;
use tokio::time::Instant;

/// What a refused connection leaves of those that were up, and a turn-away of those in use.
const REFUSED: f64 = 0.8;
const TURNED_AWAY: f64 = 0.7;
/// One cut answers for all bad news of such a span: what was under way when it came tells nothing new.
const ONE_CUT: Duration = Duration::from_millis(100);
/// One more is tried after this time, give or take a quarter, while the bound is in the way.
const GROW_AFTER: Duration = Duration::from_secs(1);

/// The bound at one backend.
#[derive(Debug)]
pub struct Bound {
    links: f64,
    cut: Option<Instant>,
    grow: Option<Instant>,
}

impl Bound {
    /// Starts at the most: the settings already share the backend out.
    pub fn new(set: &PoolSettings) -> Bound {
        Bound { links: set.backend_most as f64, cut: None, grow: None }
    }

    /// The most connections at once.
    pub fn links(&self) -> usize {
        self.links as usize
    }

    /// Keeps to new settings.
    pub fn fit(&mut self, set: &PoolSettings) {
        self.links = self.links.clamp(set.backend_least as f64, set.backend_most as f64);
    }

    /// A new connection was refused while so many were up.
    pub fn refused(&mut self, now: Instant, up: usize, set: &PoolSettings) {
        self.reduce(now, up as f64 * REFUSED, set);
    }

    /// A request was turned away while so many connections were in use.
    pub fn turned_away(&mut self, now: Instant, in_use: usize, set: &PoolSettings) {
        self.reduce(now, in_use as f64 * TURNED_AWAY, set);
    }

    fn reduce(&mut self, now: Instant, to: f64, set: &PoolSettings) {
        if self.cut.is_some_and(|cut| now < cut + ONE_CUT) {
            return;
        }
        self.links = self.links.min(to).max(set.backend_least as f64);
        (self.cut, self.grow) = (Some(now), None);
    }

    /// A request was served while so many connections were held. `jitter` is from 0 to 1; it keeps gateways
    /// from trying one more in step.
    pub fn served(&mut self, now: Instant, held: usize, jitter: f64, set: &PoolSettings) {
        if held < self.links() || self.links >= set.backend_most as f64 {
            return;
        }
        let grow = *self.grow.get_or_insert(now + GROW_AFTER.mul_f64(0.75 + 0.5 * jitter));
        if now >= grow {
            self.links = (self.links.floor() + 1.0).min(set.backend_most as f64);
            self.grow = None;
        }
    }
}
