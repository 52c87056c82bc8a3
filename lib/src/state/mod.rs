//! Shared in-memory state of a node: members, configuration, calls in flight, statistics and metrics.

pub mod authentication_metrics;
pub mod burn_counts;
pub mod call_records;
pub mod config_table;
pub mod control_metrics;
pub mod decision_log;
pub mod directory;
pub mod evacuation_metrics;
pub mod metrics;
pub mod parent_calls;
pub mod quota_metrics;
pub mod route_table;
pub mod running_requests;
pub mod tenant_table;
pub mod time_ring;
pub mod typical_time;
pub mod upstream_stats;
pub mod usual_timeout;
