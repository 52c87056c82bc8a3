//! Which nodes talk to the platform: a few in each availability zone, by hash over the live ones.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Nodes of each availability zone that watch the platform.
pub const READERS_PER_ZONE: usize = 2;

/// What one node does about the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformRole {
    /// Watches published configurations and passes them on.
    pub reads: bool,
    /// Collects its zone's reports, keeps its rendezvous object and tries for the lease.
    pub leads_zone: bool,
}

/// The nodes of a zone that talk to the platform, the leading one first.
///
/// A suspect keeps its place until it is declared dead, so that a lost datagram moves nobody.
#[must_use]
pub fn zone_readers<'a, I>(members: I, region: &str, zone: &str) -> Vec<&'a Arc<Member>>
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let seed = zone_hash(region, zone);
    let here = members.into_iter().filter(|member| *member.region == *region && *member.zone == *zone);
    let mut live: Vec<&Arc<Member>> =
        here.filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect)).collect();
    live.sort_by_cached_key(|member| std::cmp::Reverse(xxh3_64_with_seed(member.id.name.as_bytes(), seed)));
    live.truncate(READERS_PER_ZONE);
    live
}

/// The role of `me` among the members.
#[must_use]
pub fn role_of<'a, I>(me: &Member, members: I) -> PlatformRole
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    let readers = zone_readers(members, &me.region, &me.zone);
    let rank = readers.iter().position(|reader| reader.id.name == me.id.name);
    PlatformRole { reads: rank.is_some(), leads_zone: rank == Some(0) }
}

/// Name of the zone's rendezvous object, safe for any name of a zone.
#[must_use]
pub fn rendezvous_name(region: &str, zone: &str) -> String {
    format!("zone-{:016x}", zone_hash(region, zone))
}

fn zone_hash(region: &str, zone: &str) -> u64 {
    let region = xxh3_64_with_seed(region.as_bytes(), 0);
    xxh3_64_with_seed(zone.as_bytes(), region)
}
