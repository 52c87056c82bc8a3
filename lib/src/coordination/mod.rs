//! Decisions: pure state machines fed with snapshots, clock readings and events.

pub mod admission;
pub mod burn_tally;
pub mod concurrency_limit;
pub mod hedge;
pub mod lease;
pub mod manifest;
pub mod measuring_budget;
pub mod membership;
pub mod outlier_ejection;
pub mod priority_lane;
pub mod publication;
pub mod retry_budget;
pub mod routing;
pub mod service_budgets;
pub mod service_estimate;
pub mod slot_shares;
pub mod spill_budget;
