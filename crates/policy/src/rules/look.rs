//! What an operator may see of a gateway's mind. Nothing here decides.

use super::*;

/// One server as a gateway holds it.
#[derive(Debug, Clone)]
pub struct ServerLook {
    /// The server.
    pub server: ServerId,
    /// It takes work, as the list tells it.
    pub listed: bool,
    /// Attempts out at it, long transfers aside.
    pub out: f64,
    /// Long transfers under way.
    pub streams: f64,
    /// The bound on attempts out.
    pub limit: f64,
    /// The smoothed share of its failures.
    pub fail_share: f64,
    /// The smoothed time of its good answers.
    pub latency: Micros,
    /// Left alone for its failures, or on trial after that.
    pub ejected: bool,
    /// It has just started.
    pub cold: bool,
}

/// A gateway as it stands.
#[derive(Debug, Clone)]
pub struct Look {
    /// The breaker before the counter is open, or half open.
    pub breaker_open: bool,
    /// The share of requests that ask the counter.
    pub ask_share: f64,
    /// The part of the requests of usual worth that the servers can take.
    pub pass: f64,
    /// Customers kept in mind.
    pub customers: usize,
    /// Requests without their end.
    pub requests: usize,
    /// Requests that wait for a server.
    pub held: usize,
}

impl Gateway {
    /// The gateway as it stands.
    pub fn look(&self) -> Look {
        Look {
            breaker_open: self.breaker.opened.is_some(),
            ask_share: self.ask.share,
            pass: self.pass,
            customers: self.customers.len(),
            requests: self.requests.len(),
            held: self.held.len(),
        }
    }

    /// Its servers, by their numbers.
    pub fn look_at_servers(&self) -> impl Iterator<Item = ServerLook> + '_ {
        self.servers.iter().map(|(&server, s)| ServerLook {
            server,
            listed: s.listed,
            out: s.out,
            streams: s.streams,
            limit: s.limit * self.scale(),
            fail_share: s.fail_share,
            latency: Micros(s.latency as u64),
            ejected: s.trial || self.now < s.ejected_until,
            cold: s.cold_since.is_some(),
        })
    }
}
