//! Metrics of the replicated fleet document, which operators know as the fleet plan.

use super::sampled::{flag, GaugeSpec};
use crate::replication::ReplicationMetrics;

pub(super) const GAUGES: [GaugeSpec<ReplicationMetrics>; 6] = [
    GaugeSpec {
        name: "plan_index",
        help: "The index of the fleet plan that is acted on",
        read: |replication| replication.index as f64,
    },
    GaugeSpec {
        name: "plan_votes",
        help: "Whether this gateway votes on it",
        read: |replication| flag(replication.is_voting),
    },
    GaugeSpec {
        name: "plan_leads",
        help: "Whether it leads the voters",
        read: |replication| flag(replication.is_leader),
    },
    GaugeSpec {
        name: "plan_news_age_seconds",
        help: "Since a leader with a majority was last heard of",
        read: |replication| replication.leader_heartbeat_age_seconds,
    },
    GaugeSpec {
        name: "plan_changes",
        help: "Entries that were seen to be agreed on since the start",
        read: |replication| replication.entries_seen as f64,
    },
    GaugeSpec {
        name: "plan_alarms",
        help: "Gateways and indexes at which another digest was told",
        read: |replication| replication.divergences as f64,
    },
];
