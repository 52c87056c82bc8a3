//! Types of the interfaces: header fields, error kinds, objects of the platform, member records and settings.
//!
//! The other layers build on this one; it holds no state of the node.

pub mod answer;
pub mod burn;
pub mod call_head;
pub mod call_id;
pub mod check_in;
pub mod checked_json;
pub mod credentials;
pub mod deployment_bounds;
pub mod error_kind;
pub mod evacuation;
pub mod explain;
pub mod external_fields;
pub mod final_status;
pub mod headers;
pub mod issued_key;
pub mod load_report;
pub mod log_event;
pub mod member;
pub mod object;
pub mod published;
pub mod rate_limit;
pub mod resolve_request;
pub mod route;
pub mod service_spec;
pub mod settings;
pub mod tenant;
pub mod trace;
