//! The report on service-level burn: gathering, adding up, and showing it.

pub mod fleet_burn;
pub mod gather;
pub mod page;
pub mod table;
