//! Fixtures shared by the tests of yuccatray.

pub mod daemon_process;
pub mod fault_relay;
pub mod faulty_platform;
pub mod fleet;
pub mod fleet_harness;
pub mod history;
pub mod http_call;
pub mod logging_upstream;
pub mod objects;
pub mod raw_http;
pub mod two_nodes;
pub mod workspace;
