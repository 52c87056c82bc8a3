//! Decisions: pure state machines fed with snapshots, clock readings and events.

pub mod admission;
pub mod anti_entropy;
pub mod applied_fleet;
pub mod applied_report;
pub mod backoff;
pub mod burn_tally;
pub mod concurrency_limit;
pub mod fleet_view;
pub mod lease;
pub mod manifest;
pub mod membership;
pub mod news_queue;
pub mod platform_role;
pub mod probe;
pub mod publication;
pub mod publication_ledger;
mod rejoin;
pub mod retry_budget;
pub mod routing;
pub mod service_estimate;
pub mod settled_count;
pub mod slot_shares;
