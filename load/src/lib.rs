//! Callers, embedded fleets and measurement for yuccatray.

pub mod caller;
pub mod deployment;
pub mod embedded_fleet;
pub mod latency_table;
pub mod open_loop;
