//! The service-level burn report: collects the reports of all nodes, aggregates them and renders the result.

pub mod collect_reports;
pub mod fleet_burn;
pub mod page;
pub mod table;
