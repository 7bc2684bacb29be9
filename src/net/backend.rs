//! Attempts at backends, and the outcome of each by what was written.

use super::http::{CallError, Received, Traffic};
use super::pool::{Backend, NoLink, Pool};
use super::relay::{Relay, Relays, Served};
use crate::api::{Outcome, Report};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

/// How long the client waits; to a backend: how long this gateway does.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");
const LOAD: HeaderName = HeaderName::from_static("x-load-report");
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

/// A client's request as it goes on to backends.
#[derive(Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, without those that hold for the client's connection alone.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Forward {
    fn request(&self, until: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(BUDGET, HeaderValue::from(left));
        request
    }
}

/// Removes what holds for one connection alone; framing is the next connection's own.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    const NAMES: [HeaderName; 7] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
    ];
    NAMES.iter().for_each(|name| drop(headers.remove(name)));
    headers.remove("keep-alive");
}

/// How an attempt ended, with the body where it was served.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// A 200's body.
    pub body: Option<Served>,
    /// What the backend said of its load.
    pub report: Report,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, body: None, report: Report::default() }
    }
}

/// Makes one attempt and returns how it ended, its connection closed or back in the pool. It ends by `until`, or
/// when called off.
pub async fn attempt(
    pool: &Rc<Pool>,
    relays: &Relays,
    backend: &Backend,
    request: &Forward,
    until: Instant,
    called_off: oneshot::Receiver<()>,
) -> Ended {
    // What went over the connection that the request may have been written to.
    let traffic = RefCell::new(None);
    tokio::select! {
        biased;
        _ = called_off => Outcome::Cancelled.into(),
        () = sleep_until(until) => match traffic.take() {
            Some(traffic) => {
                if !Traffic::heard(&traffic) {
                    pool.silent(backend);
                }
                Outcome::Timeout.into()
            }
            None => Outcome::ConnectFailed.into(),
        },
        ended = exchange(pool, relays, backend, request, until, &traffic) => ended,
    }
}

async fn exchange(
    pool: &Rc<Pool>,
    relays: &Relays,
    backend: &Backend,
    request: &Forward,
    until: Instant,
    traffic: &RefCell<Option<Rc<Traffic>>>,
) -> Ended {
    loop {
        let mut lease = match pool.checkout(backend, until).await {
            Ok(lease) => lease,
            Err(why) => return outcome_without(why).into(),
        };
        // Guards against sending to a backend that began to drain while the connection came up.
        if !backend.open.get() {
            return Outcome::Moot.into();
        }
        let reused = lease.reused;
        let Some(connection) = lease.connection() else { return Outcome::Moot.into() };
        // From here on the attempt may have run, for all that a caller who stops waiting can know.
        *traffic.borrow_mut() = Some(connection.traffic());
        let set = relays.settings();
        let received = match set {
            None => connection.call(request.request(until)).await.map(Received::Whole),
            Some(set) => connection.call_up_to(request.request(until), set.hold).await,
        };
        match received {
            Ok(Received::Whole(response)) => {
                let ended = outcome_of(response.map(Served::Whole));
                match ended.outcome {
                    Outcome::Ok => pool.served(backend),
                    Outcome::Full => pool.turned_away(backend),
                    _ => pool.heard(backend),
                }
                lease.give_back();
                return ended;
            }
            Ok(Received::Longer(response, held)) => {
                pool.heard(backend);
                let (head, rest) = response.into_parts();
                // An answer other than a 200 is not passed on: there is no use in its rest.
                let Some(set) = set.filter(|_| head.status == StatusCode::OK) else {
                    return outcome_of(Response::from_parts(head, Served::Whole(Bytes::new())));
                };
                let Some(room) = relays.room(&set).await else { return Outcome::Reset.into() };
                let relay = Relay::new(held, lease, rest, room);
                return outcome_of(Response::from_parts(head, Served::Long(Box::new(relay))));
            }
            // Guards against a pooled connection that was closed just before it was written to.
            Err(CallError::NotSent) if reused => *traffic.borrow_mut() = None,
            Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
            Err(CallError::Broken) => {
                pool.heard(backend);
                return Outcome::Reset.into();
            }
        }
    }
}

/// What it says of a backend that there is no connection to it. In each case the request never reached it.
fn outcome_without(why: NoLink) -> Outcome {
    match why {
        NoLink::Closed | NoLink::Exhausted => Outcome::Moot,
        NoLink::Unreachable => Outcome::ConnectFailed,
        // It bears no more connections, which it would say of one more request as well.
        NoLink::Full => Outcome::Full,
    }
}

/// What an answer says. Guards against taking a bare 503 or 504 for a turn-away: only the header proves that
/// the request never ran.
fn outcome_of(response: Response<Served>) -> Ended {
    let rejected = response.headers().get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
    let report =
        response.headers().get(LOAD).and_then(|v| v.to_str().ok()).map_or_else(Report::default, load);
    let (outcome, body) = match response.status() {
        StatusCode::OK => (Outcome::Ok, Some(response.into_body())),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => (Outcome::Full, None),
        _ => (Outcome::Error, None),
    };
    Ended { outcome, body, report }
}

/// Reads `TEXT depth=2, load_share=0.61`, fields named as in the settings. What can't be read is passed over: a
/// report only advises.
fn load(text: &str) -> Report {
    let mut report = Report::default();
    for part in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
        let Some((name, value)) = part.trim().split_once('=') else { continue };
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "concurrent" => report.inflight = value,
            "depth" => report.queue = value,
            "load_share" => report.busy = value,
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(text: &'static str) -> Report {
        let mut response = Response::new(Served::Whole(Bytes::new()));
        response.headers_mut().insert(LOAD, HeaderValue::from_static(text));
        outcome_of(response).report
    }

    #[test]
    fn a_load_report_is_read_and_what_is_spoilt_is_passed_over() {
        let (queue, busy) = (Some(2.0), Some(0.61));
        assert_eq!(report("TEXT depth=2, load_share=0.61"), Report { queue, busy, ..Report::default() });
        assert_eq!(report("TEXT depth=-2, load_share=0.61"), Report { busy, ..Report::default() });
        for spoilt in ["", "TEXT", "TEXT depth=,load_share", "depth=NaN, load_share=inf", "%%=%%;;"] {
            assert_eq!(report(spoilt), Report::default(), "{spoilt}");
        }
    }
}
