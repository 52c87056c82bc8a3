//! Which nodes lead zones and serve quotas, as one node sees the fleet.
//!
//! Nodes that see different fleets choose different leading nodes and servers, which only divides the parts.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::platform_role::zone_ranking;
use crate::coordination::quota::tenant_limits::GROUP_COUNT;
use crate::coordination::quota::tenant_limits::Group;
use crate::coordination::quota::tenant_limits::group_bit;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Number of live nodes for each class of groups, whose groups have one server.
const NODES_PER_CLASS: usize = 16;

/// Number of nodes of a ranking that may take a role, one after the other.
pub const MAX_RANKED: usize = 4;

/// The roles of nodes as one node sees the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetRoles {
    addrs: IndexMap<Arc<str>, SocketAddr>,
    all_nodes: Vec<Arc<str>>,
    zone_nodes: Vec<Arc<str>>,
    own_rank: Option<usize>,
    zone_rankings: Vec<Vec<Arc<str>>>,
    /// Ranking of the servers of each class of groups.
    server_rankings: Vec<Vec<Arc<str>>>,
    own_zone: usize,
    own_groups: u64,
}

impl FleetRoles {
    /// Derives the roles from the members that `local_member` knows, which include itself.
    #[must_use]
    pub fn new(local_member: &Member, members: &[Arc<Member>]) -> Self {
        let reachable: Vec<&Arc<Member>> =
            members.iter().filter(|member| member.state != MemberState::Dead).collect();
        let live: Vec<&Arc<Member>> =
            reachable.iter().copied().filter(|member| member.state != MemberState::Leaving).collect();
        let mut zones: Vec<(&str, &str)> =
            live.iter().map(|member| (&*member.region, &*member.zone)).collect();
        zones.sort_unstable();
        zones.dedup();
        let full_ranking = |(region, zone): (&str, &str)| names(zone_ranking(members, region, zone));
        let own_name = &local_member.id.name;
        let own_zone_key = (&*local_member.region, &*local_member.zone);
        let server_rankings = server_rankings(&live);
        Self {
            addrs: reachable.iter().map(|member| (Arc::clone(&member.id.name), member.peer_addr)).collect(),
            all_nodes: names(members),
            zone_nodes: names(
                reachable.iter().copied().filter(|member| member.shares_zone_with(local_member)),
            ),
            own_rank: full_ranking(own_zone_key).iter().position(|name| name == own_name),
            own_zone: zones.iter().position(|zone| *zone == own_zone_key).unwrap_or(usize::MAX),
            zone_rankings: zones.into_iter().map(full_ranking).map(truncated).collect(),
            own_groups: own_groups(&server_rankings, own_name),
            server_rankings,
        }
    }

    /// Returns the address of a node that is not dead.
    #[must_use]
    pub fn addr(&self, node: &str) -> Option<SocketAddr> {
        self.addrs.get(node).copied()
    }

    /// Returns the nodes of the own zone, including this one and those that leave.
    #[must_use]
    pub fn zone_nodes(&self) -> &[Arc<str>] {
        &self.zone_nodes
    }

    /// Returns the position of this node in the ranking of its zone.
    #[must_use]
    pub const fn own_rank(&self) -> Option<usize> {
        self.own_rank
    }

    /// Returns whether this node leads the fleet: it is the leading node of the first zone.
    #[must_use]
    pub fn leads_fleet(&self) -> bool {
        self.own_rank == Some(0) && self.own_zone == 0
    }

    /// Returns the first nodes in the ranking of each zone.
    #[must_use]
    pub fn zone_rankings(&self) -> &[Vec<Arc<str>>] {
        &self.zone_rankings
    }

    /// Returns the first nodes in the ranking of the own zone.
    #[must_use]
    pub fn own_zone_ranking(&self) -> &[Arc<str>] {
        self.zone_rankings.get(self.own_zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the leading nodes of the other zones.
    pub fn other_zone_leaders(&self) -> impl Iterator<Item = &Arc<str>> {
        let others = self.zone_rankings.iter().enumerate().filter(|(zone, _)| *zone != self.own_zone);
        others.filter_map(|(_, ranking)| ranking.first())
    }

    /// Returns the servers of a group, the preferred one first.
    #[must_use]
    pub fn servers(&self, group: Group) -> &[Arc<str>] {
        self.server_rankings.get(class_of(group, self.server_rankings.len())).map_or(&[], Vec::as_slice)
    }

    /// Returns the groups of which this node is the preferred server, as a set of bits.
    #[must_use]
    pub const fn own_groups(&self) -> u64 {
        self.own_groups
    }

    /// Returns the names of all nodes, including dead ones.
    #[must_use]
    pub fn all_nodes(&self) -> &[Arc<str>] {
        &self.all_nodes
    }

    /// Returns the names of all nodes that are not dead.
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<str>> {
        self.addrs.keys()
    }
}

fn names<'a, I>(members: I) -> Vec<Arc<str>>
where
    I: IntoIterator<Item = &'a Arc<Member>>,
{
    members.into_iter().map(|member| Arc::clone(&member.id.name)).collect()
}

fn truncated(mut ranking: Vec<Arc<str>>) -> Vec<Arc<str>> {
    ranking.truncate(MAX_RANKED);
    ranking
}

/// Returns the ranking of each class; the number of classes is a power of two, so that a change moves half of them.
fn server_rankings(live: &[&Arc<Member>]) -> Vec<Vec<Arc<str>>> {
    let wanted = (live.len() / NODES_PER_CLASS).clamp(1, usize::from(GROUP_COUNT));
    let class_count = 1_usize << wanted.ilog2();
    (0..class_count).map(|class| server_ranking(live, class)).collect()
}

fn server_ranking(live: &[&Arc<Member>], class: usize) -> Vec<Arc<str>> {
    let mut ranking = live.to_vec();
    let seed = u64::try_from(class).unwrap_or(0);
    ranking.sort_by_cached_key(|member| Reverse(xxh3_64_with_seed(member.id.name.as_bytes(), seed)));
    truncated(names(ranking))
}

fn class_of(group: Group, class_count: usize) -> usize {
    usize::from(group).checked_rem(class_count).unwrap_or(0)
}

fn own_groups(server_rankings: &[Vec<Arc<str>>], own_name: &Arc<str>) -> u64 {
    let is_first = |group: &Group| {
        let ranking = server_rankings.get(class_of(*group, server_rankings.len()));
        ranking.and_then(|ranking| ranking.first()) == Some(own_name)
    };
    (0..GROUP_COUNT).filter(is_first).fold(0, |groups, group| groups | group_bit(group))
}
