//! What a bench reads of a gateway's process.

use super::world::Node;

/// The kernel's unit of CPU time in /proc, in seconds.
const TICK: f64 = 0.01;

/// Seconds of CPU that a process had, to a hundredth.
pub fn cpu(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).expect("it runs");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|t| t.parse::<f64>().ok()).expect("a number");
    (ticks(11) + ticks(12)) * TICK
}

/// Its memory now, in MiB.
pub fn memory(node: &Node) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a figure");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("a number") / 1024.0
}
