//! A soak: real node processes under series of faults, and the promises held against what was seen.
//!
//! Faults come from outside: relays on loopback break, silence and delay connections, signals stop,
//! pause and kill processes, and the platform's stand-in misbehaves. A seed fixes the series.

pub mod callers;
pub mod disturbance;
pub mod findings;
pub mod place;
pub mod play;
