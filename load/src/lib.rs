//! Callers, embedded fleets and measurement for yuccatray.

pub mod baselines;
pub mod body_carrier;
pub mod caller;
pub mod deployment;
pub mod embedded_fleet;
pub mod experiment;
pub mod experiment_report;
pub mod experiment_run;
pub mod latency_table;
pub mod leg;
pub mod open_loop;
pub mod policy_variant;
pub mod probe_pool;
pub mod process_fleet;
pub mod process_usage;
pub mod relay;
