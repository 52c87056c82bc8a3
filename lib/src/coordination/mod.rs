//! Decisions: pure state machines fed with snapshots, clock readings and events.

pub mod admission;
pub mod burn_tally;
pub mod concurrency_limit;
pub mod lease;
pub mod manifest;
pub mod membership;
pub mod publication;
pub mod retry_budget;
pub mod routing;
pub mod service_estimate;
pub mod slot_shares;
