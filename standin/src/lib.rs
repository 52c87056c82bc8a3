//! Stand-ins for the external systems of yuccatray: the platform and the upstreams.
//!
//! They implement the same published protocols over real sockets, count the requests they receive, and inject
//! faults on demand. They are meant for tests, trials and measurements.

pub mod platform;
pub mod platform_store;
pub mod upstream;
