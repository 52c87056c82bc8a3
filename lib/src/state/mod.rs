//! What a node knows: members, configuration, calls in flight, counters.

pub mod call_records;
pub mod config_table;
pub mod control_metrics;
pub mod directory;
pub mod metrics;
pub mod upstream_stats;
