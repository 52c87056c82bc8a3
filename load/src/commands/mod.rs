//! One module a command, each with its arguments and one function.

pub mod compare;
pub mod experiment;
pub mod fleet;
pub mod peer_bodies;
pub mod relay;
pub mod scale;
