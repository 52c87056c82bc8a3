//! Quotas of tenants: the right to spend a tenant's limit is lent from node to node and spent at one quota server.
//!
//! State machines without I/O: they take messages, clock readings and events, and return messages and decisions.
//! `docs/design/quotas.md` describes the protocol and why the sum of all nodes stays within the limit.

pub mod allowance;
pub mod answer_memory;
pub mod client;
pub mod fleet_roles;
pub mod local_share;
pub mod promises;
pub mod quota_node;
pub mod recent_demand;
pub mod roster;
pub mod roster_keeper;
pub mod sent_requests;
pub mod served_group;
pub mod server;
pub mod share_holder;
pub mod tenant_limits;
pub mod token_bucket;
pub mod zone_lender;

use std::time::Duration;

/// Reading of a node's clock that continues while its VM is suspended.
///
/// Its origin is at least [`SHARE_VALIDITY`] before the start of the VM, so that the time of any read that counts can
/// be expressed.
pub type BootTime = Duration;

/// Number of parts into which the right to spend each limit is divided.
pub const ALL_PARTS: u32 = 1_000_000;

/// Time for which a node lends its share to the leading node of its zone.
pub const SHARE_LEASE: Duration = Duration::from_secs(1);

/// Time for which the leading node of a zone lends parts to a quota server.
pub const GROUP_LEASE: Duration = Duration::from_millis(500);

/// Time for which a node may spend its share after the read of the roster that shows it.
pub const SHARE_VALIDITY: Duration = Duration::from_mins(30);

/// Time between withdrawing a share and granting it to another node.
///
/// It exceeds the validity of a share and all leases, also if the clocks of two nodes differ in speed by a tenth.
pub const WITHDRAWAL_WAIT: Duration = Duration::from_mins(35);

/// Maximum time from asking for a token to the start of the request that spends it.
pub const TOKEN_VALIDITY: Duration = Duration::from_millis(200);

/// Returns a duration in whole milliseconds for a message.
fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
