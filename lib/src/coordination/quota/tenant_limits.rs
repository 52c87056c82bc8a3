//! The limits of tenants, and the fixed groups into which tenants are divided.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of groups of tenants; fixed, since nodes that group differently would lend the same part twice.
pub const GROUP_COUNT: u8 = 64;

/// Index of a group of tenants, below [`GROUP_COUNT`].
pub type Group = u8;

/// Limit of one tenant over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLimit {
    /// Sustained rate in thousandths of a request per second; at least 1.
    pub rate_millis_per_s: u64,
    /// Requests that may come at once beyond the rate.
    pub burst: u32,
}

/// The limits of all tenants that have one, as of one revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantLimits {
    /// Revision of the configuration.
    pub revision: u64,
    /// Limits by the name of the tenant.
    pub limits: IndexMap<Arc<str>, TenantLimit>,
}

impl TenantLimits {
    /// Returns the groups that contain a tenant with a limit, as a set of bits.
    #[must_use]
    pub fn groups(&self) -> u64 {
        self.limits.keys().fold(0, |groups, tenant| groups | group_bit(group_of(tenant)))
    }
}

/// Returns the group of a tenant.
#[must_use]
pub fn group_of(tenant: &str) -> Group {
    let hash = xxh3_64_with_seed(tenant.as_bytes(), 0) % u64::from(GROUP_COUNT);
    Group::try_from(hash).unwrap_or(0)
}

/// Returns the bit of a group in a set of groups.
#[must_use]
pub const fn group_bit(group: Group) -> u64 {
    1 << (group % GROUP_COUNT)
}

/// Iterates over the groups of a set.
pub fn groups_of_set(set: u64) -> impl Iterator<Item = Group> {
    (0..GROUP_COUNT).filter(move |group| set & group_bit(*group) != 0)
}
