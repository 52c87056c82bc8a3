//! Soak test: runs real node processes under random faults and checks the guarantees given to callers.
//!
//! All faults are injected from outside: relays on loopback cut, stall and delay connections, signals stop,
//! pause and kill processes, and the platform stand-in fails. A seed determines the series of faults.

pub mod announced_upstream;
pub mod callers;
pub mod disturbance;
pub mod findings;
pub mod run_soak;
pub mod soak_node;
pub mod tenant_callers;
pub mod tenant_checks;
pub mod tenant_fleet;
pub mod tenant_operators;
pub mod tenant_record;
pub mod tenant_soak;
