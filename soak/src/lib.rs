//! Soak test: runs real node processes under random faults and checks the guarantees given to callers.
//!
//! All faults are injected from outside: relays on loopback cut, stall and delay connections, signals stop,
//! pause and kill processes, and the platform stand-in fails. A seed determines the series of faults.

pub mod callers;
pub mod disturbance;
pub mod findings;
pub mod run_soak;
pub mod soak_node;
