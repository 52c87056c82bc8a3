//! The service-level burn report: collects the reports of all nodes, aggregates them and renders the result.

pub mod fleet_burn;
pub mod gather;
pub mod page;
pub mod table;
