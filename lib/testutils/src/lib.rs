//! Fixtures shared by the tests of yuccatray.

pub mod daemon_process;
pub mod faulty_platform;
pub mod fleet_harness;
pub mod http_call;
pub mod raw_http;
pub mod two_nodes;
pub mod workspace;
