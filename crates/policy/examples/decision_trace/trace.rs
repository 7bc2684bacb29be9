//! Computes the digest, and encodes actions as numbers.

use lanespan_policy::Action;

/// Running 64-bit digest of recorded lines of numbers.
#[derive(Default)]
pub struct Trace {
    hash: u64,
    dump: bool,
    pub lines: u64,
}

impl Trace {
    pub fn new(dump: bool) -> Trace {
        Trace { dump, ..Trace::default() }
    }

    pub fn record(&mut self, line: &[u64]) {
        self.lines += 1;
        self.hash = mix(self.hash ^ line.len() as u64);
        for number in line {
            self.hash = mix(self.hash ^ number);
        }
        if self.dump {
            let numbers: Vec<String> = line.iter().map(u64::to_string).collect();
            println!("{}", numbers.join(" "));
        }
    }

    pub fn digest(&self) -> u64 {
        self.hash
    }
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// First number of each kind of line that does not record an action.
pub const SNAPSHOT: u64 = 100;
pub const BACKEND_SNAPSHOT: u64 = 101;
pub const TRACKED_ITEMS: u64 = 102;
pub const PRECONNECT: u64 = 103;
pub const SETTINGS_CHECK: u64 = 104;

pub fn encode(action: &Action) -> Vec<u64> {
    match action {
        Action::Forward { request, backend, give_up_at, begin_by } => {
            vec![1, request.0, backend.0, give_up_at.0, begin_by.0]
        }
        Action::Reject { request, retry_after: None } => vec![2, request.0],
        Action::Reject { request, retry_after: Some(retry_after) } => vec![2, request.0, retry_after.0],
        Action::Fail(request) => vec![3, request.0],
        Action::CancelAttempt { request, attempt } => vec![4, request.0, *attempt as u64],
        Action::CheckHealth(backend) => vec![5, backend.0],
        Action::AddToCounter { key, amount, lifetime } => vec![6, key.0, amount.to_bits(), lifetime.0],
        Action::SetTimer { timer, delay } => vec![7, timer.0, delay.0],
        Action::SubscribeEndpoints => vec![8],
        Action::FetchEndpoints => vec![9],
    }
}
