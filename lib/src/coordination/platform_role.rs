//! Selects the few live nodes of each availability zone that communicate with the platform, by hash.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Number of nodes in each availability zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Duties of one node towards the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformRole {
    /// Whether the node watches published configurations and passes them on.
    pub watches_platform: bool,
    /// Whether the node collects its zone's reports, maintains the zone's seed registry object and competes
    /// for the lease.
    pub leads_zone: bool,
}

/// Returns the nodes of a zone that communicate with the platform, the zone's leader first.
///
/// A suspect member keeps its role until it is declared dead, so that a lost datagram changes no roles.
#[must_use]
pub fn zone_platform_watchers<'a, I>(members: I, region: &str, zone: &str) -> Vec<&'a Arc<Member>>
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let seed = zone_hash(region, zone);
    let in_zone = members.into_iter().filter(|member| *member.region == *region && *member.zone == *zone);
    let mut live: Vec<&Arc<Member>> =
        in_zone.filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect)).collect();
    live.sort_by_cached_key(|member| std::cmp::Reverse(xxh3_64_with_seed(member.id.name.as_bytes(), seed)));
    live.truncate(WATCHERS_PER_ZONE);
    live
}

/// Returns the role of `local_member` among the members.
#[must_use]
pub fn role_of<'a, I>(local_member: &Member, members: I) -> PlatformRole
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let watchers = zone_platform_watchers(members, &local_member.region, &local_member.zone);
    let rank = watchers.iter().position(|watcher| watcher.id.name == local_member.id.name);
    PlatformRole { watches_platform: rank.is_some(), leads_zone: rank == Some(0) }
}

/// Returns the name of the zone's seed registry object.
///
/// The zone's name is hashed, since it may hold characters that are invalid in names of objects.
#[must_use]
pub fn seed_registry_name(region: &str, zone: &str) -> String {
    format!("zone-{:016x}", zone_hash(region, zone))
}

/// Returns a hash of the region and zone.
fn zone_hash(region: &str, zone: &str) -> u64 {
    let region = xxh3_64_with_seed(region.as_bytes(), 0);
    xxh3_64_with_seed(zone.as_bytes(), region)
}
