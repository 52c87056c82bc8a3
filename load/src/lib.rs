//! Load generation, embedded fleets and measurements for yuccatray.

pub mod baselines;
pub mod body_transport;
pub mod caller;
pub mod deployment;
pub mod embedded_fleet;
pub mod experiment;
pub mod experiment_report;
pub mod experiment_run;
pub mod latency_table;
pub mod load_run;
pub mod open_loop;
pub mod policy_variant;
pub mod probe_pool;
pub mod process_fleet;
pub mod process_usage;
pub mod relay;
