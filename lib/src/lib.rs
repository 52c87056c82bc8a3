//! The node of yuccatray, a load balancer for servers whose load shifts in milliseconds.
//!
//! Four layers, each depending only on those after it: [`transport`] moves bytes,
//! [`coordination`] decides, [`state`] holds what is known, and [`protocol`] says
//! what travels and what is declared. [`node`] puts them together.

pub mod coordination;
pub mod node;
pub mod protocol;
pub mod state;
pub mod transport;
