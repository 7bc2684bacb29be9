//! Summarizes a run as text for people and as JSON for programs.

use crate::checks::{quota_usage, Violation};
use crate::gateway::ResourceUsage;
use crate::load::Outcome;
use crate::record::RunRecord;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The number of requests due in one second, by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Requests served.
    pub served: u32,
    /// Requests rejected by quota or load shedding.
    pub refused: u32,
    /// Requests that failed, were not sent or got no complete response.
    pub failed: u32,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The description from the experiment file.
    pub shows: String,
    /// The seed of the run.
    pub seed: u64,
    /// Whether the load generator was the bottleneck, so that the results say nothing about the gateways.
    pub invalid: bool,
    /// The number of requests by outcome.
    pub fates: BTreeMap<String, usize>,
    /// The times from due to response of the served requests, in milliseconds: median, 90th percentile, 99th
    /// percentile and maximum.
    pub answer_ms: [f64; 4],
    /// The generator's lateness in milliseconds: median, 99th percentile and maximum.
    pub late_ms: [f64; 3],
    /// The units forwarded within and beyond quotas.
    pub units: (f64, f64),
    /// The largest memory of a gateway in MiB, and the largest number of descriptors.
    #[serde(rename = "most")]
    pub peak_usage: (f64, usize),
    /// The applied actions and their times, in seconds since the rig started.
    pub timeline: Vec<(f64, String)>,
    /// The counts of requests for each second since the rig started.
    pub seconds: Vec<Second>,
    /// The violations of the checks.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

impl Report {
    /// Summarizes a run, given the violations that its checks returned.
    pub fn new(run: &RunRecord<'_>, violations: Vec<Violation>) -> Report {
        let (experiment, results) = (run.experiment, run.results);
        let requests = results.requests.borrow();
        let mut fates = BTreeMap::new();
        let mut seconds = Vec::new();
        for request in requests.iter() {
            let second = request.due.as_secs() as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, Second::default());
            }
            let (name, count) = match request.outcome {
                Outcome::Served(_) => ("served", &mut seconds[second].served),
                Outcome::Rejected => ("refused", &mut seconds[second].refused),
                Outcome::Failed(_) => ("failed", &mut seconds[second].failed),
                Outcome::ConnectionBroken => ("broken off", &mut seconds[second].failed),
                Outcome::Unanswered | Outcome::Pending => ("no answer", &mut seconds[second].failed),
                Outcome::NotSent => ("no gateway", &mut seconds[second].failed),
            };
            *count += 1;
            *fates.entry(name.to_string()).or_insert(0) += 1;
        }
        let (latencies, lateness) = (results.latencies.borrow(), results.lateness.borrow());
        let ms = |micros: u64| micros as f64 / 1e3;
        let usage = quota_usage(&run.arrivals, experiment.load.quota);
        let peaks = run.gateways.iter().map(|gateway| gateway.peak_usage.get());
        let peak = peaks.fold(ResourceUsage::default(), ResourceUsage::max);
        Report {
            shows: experiment.shows.clone(),
            seed: experiment.seed,
            invalid: results.generator_was_late(),
            fates,
            answer_ms: [0.5, 0.9, 0.99, 1.0].map(|quantile| ms(latencies.value_at_quantile(quantile))),
            late_ms: [0.5, 0.99, 1.0].map(|quantile| ms(lateness.value_at_quantile(quantile))),
            units: (usage.within, usage.beyond),
            peak_usage: (peak.memory_bytes as f64 / f64::from(1 << 20), peak.descriptors),
            timeline: run.actions.iter().map(|(at, action)| (at.as_secs_f64(), action.clone())).collect(),
            seconds,
            violations,
        }
    }

    /// Returns whether the run is valid and has no violations.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && !self.invalid
    }

    /// Renders the report as text, with the applied actions next to the counts of each second.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a String can't fail.
        let _ = writeln!(text, "{}\nseed {}", self.shows, self.seed);
        let fates: Vec<String> =
            self.fates.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
        let _ = writeln!(text, "requests: {}", fates.join(", "));
        let [median, p90, p99, max] = self.answer_ms;
        let _ = writeln!(text, "ms to answer: median {median:.1}, 90% {p90:.1}, 99% {p99:.1}, max {max:.1}");
        let [median, p99, max] = self.late_ms;
        let _ = writeln!(text, "generator late, ms: median {median:.2}, 99% {p99:.2}, max {max:.2}");
        let _ = writeln!(text, "units within quotas {:.0}, beyond {:.0}", self.units.0, self.units.1);
        let _ = writeln!(
            text,
            "largest use by a gateway: {:.1} MiB, {} descriptors",
            self.peak_usage.0, self.peak_usage.1
        );
        let _ = writeln!(text, "\n{:>6} {:>7} {:>8} {:>7}  done", "s", "served", "refused", "failed");
        for (second, counts) in self.seconds.iter().enumerate() {
            let in_second = |action: &&(f64, String)| action.0 as usize == second;
            let actions: Vec<String> = self
                .timeline
                .iter()
                .filter(in_second)
                .map(|(at, action)| format!("{at:.2} {action}"))
                .collect();
            let Second { served, refused, failed } = counts;
            if served + refused + failed > 0 || !actions.is_empty() {
                let _ = writeln!(
                    text,
                    "{second:>6} {served:>7} {refused:>8} {failed:>7}  {}",
                    actions.join("; ")
                );
            }
        }
        for Violation { check, observed } in &self.violations {
            let _ = writeln!(text, "BROKEN {check}: {observed}");
        }
        let verdict = match (self.invalid, self.violations.len()) {
            (true, _) => "INVALID: the generator was late".to_string(),
            (false, 0) => "all checks hold".to_string(),
            (false, count) => format!("{count} broken"),
        };
        let _ = writeln!(text, "{verdict}");
        text
    }
}
