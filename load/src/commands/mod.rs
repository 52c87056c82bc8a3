//! Commands of the tool: one module each, with its arguments and the function that runs it.

pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod peer_bodies;
pub mod relay;
pub mod scale;
pub mod slopes;
pub mod vm_loss;
