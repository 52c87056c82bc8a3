//! Stand-ins for what yuccatray works with: the platform and the upstreams.
//!
//! They speak the same published protocols over real sockets, count what they
//! are asked, and fail on demand. They are for tests, trials and measurement.

pub mod platform;
pub mod platform_store;
pub mod upstream;
