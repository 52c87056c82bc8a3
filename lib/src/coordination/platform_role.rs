//! Selects the few live nodes of each availability zone that communicate with the platform, by hash.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Number of nodes in each availability zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Number of nodes of a zone for each that confirms configurations, which bounds the requests that one answers.
const NODES_PER_CONFIRMER: usize = 32;

/// Number of nodes that a node may ask for a confirmation, one after the other.
const CONFIRMATION_SOURCES: usize = 2;

/// Duties of one node towards the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformRole {
    /// Whether the node watches published configurations and passes them on.
    pub watches_platform: bool,
    /// Whether the node collects its zone's reports, maintains the zone's seed registry object and competes
    /// for the lease.
    pub leads_zone: bool,
    /// Whether the node confirms to others of its zone that their configuration is the latest.
    pub confirms_configurations: bool,
}

/// Returns the nodes of a zone that communicate with the platform, the zone's leader first.
///
/// A suspect member keeps its role until it is declared dead, so that a lost datagram changes no roles.
#[must_use]
pub fn zone_platform_watchers<'a, I>(members: I, region: &str, zone: &str) -> Vec<&'a Arc<Member>>
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let mut ranking = zone_ranking(members, region, zone);
    ranking.truncate(WATCHERS_PER_ZONE);
    ranking
}

/// Returns the role of `local_member` among the members.
#[must_use]
pub fn role_of<'a, I>(local_member: &Member, members: I) -> PlatformRole
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let ranking = zone_ranking(members, &local_member.region, &local_member.zone);
    let Some(rank) = rank_of(local_member, &ranking) else {
        return PlatformRole::default();
    };
    let confirmers = confirmer_count(ranking.len());
    PlatformRole {
        watches_platform: rank < WATCHERS_PER_ZONE,
        leads_zone: rank == 0,
        confirms_configurations: rank < confirmers,
    }
}

/// Returns the nodes that `local_member` asks for confirmations, in order; none if it confirms itself.
///
/// The only source of a zone's second node is the first one, which it stands in for.
#[must_use]
pub fn confirmation_sources<'a, I>(local_member: &Member, members: I) -> Vec<&'a Arc<Member>>
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let ranking = zone_ranking(members, &local_member.region, &local_member.zone);
    let confirmers = confirmer_count(ranking.len());
    let Some(rank) = rank_of(local_member, &ranking).filter(|rank| *rank >= confirmers) else {
        return Vec::new();
    };
    // A zone's only confirmer is backed up by the next node of the ranking, several ones by each other.
    let eligible = confirmers.max(CONFIRMATION_SOURCES);
    let indexes = (0..CONFIRMATION_SOURCES).map(|offset| match confirmers {
        1 => offset,
        _ => (rank + offset) % eligible,
    });
    indexes.filter(|index| *index != rank).filter_map(|index| ranking.get(index).copied()).collect()
}

/// Returns the live nodes of a zone in an order that all nodes with equal members agree on.
pub(super) fn zone_ranking<'a, I>(members: I, region: &str, zone: &str) -> Vec<&'a Arc<Member>>
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let seed = zone_hash(region, zone);
    let in_zone = members.into_iter().filter(|member| *member.region == *region && *member.zone == *zone);
    let mut live: Vec<&Arc<Member>> =
        in_zone.filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect)).collect();
    live.sort_by_cached_key(|member| std::cmp::Reverse(xxh3_64_with_seed(member.id.name.as_bytes(), seed)));
    live
}

fn rank_of(local_member: &Member, ranking: &[&Arc<Member>]) -> Option<usize> {
    ranking.iter().position(|member| member.id.name == local_member.id.name)
}

/// Returns how many nodes of a zone of `zone_size` nodes confirm configurations.
fn confirmer_count(zone_size: usize) -> usize {
    zone_size.div_ceil(NODES_PER_CONFIRMER).max(1)
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
