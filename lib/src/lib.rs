//! The node of yuccatray, a load balancer for upstreams whose load changes within milliseconds.
//!
//! The crate has four layers, each depending only on those after it: [`transport`] does the network I/O,
//! [`coordination`] contains the decision logic, [`state`] the shared state of a node, and [`protocol`] the
//! wire formats and declared objects. [`node`] assembles them into a running node.

pub mod coordination;
pub mod node;
pub mod protocol;
pub mod state;
pub mod transport;
