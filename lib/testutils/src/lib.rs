//! Fixtures shared by the tests of yuccatray.

pub mod call_history;
pub mod daemon_process;
pub mod fault_relay;
pub mod faulty_platform;
pub mod fleet;
pub mod http_client;
pub mod logging_upstream;
pub mod objects;
pub mod raw_http;
pub mod raw_peer;
pub mod simulated_fleet;
pub mod simulated_quotas;
pub mod two_nodes;
pub mod workspace;
