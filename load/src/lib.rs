//! Callers, embedded fleets and measurement for yuccatray.

pub mod body_carrier;
pub mod caller;
pub mod deployment;
pub mod embedded_fleet;
pub mod latency_table;
pub mod leg;
pub mod open_loop;
pub mod process_usage;
