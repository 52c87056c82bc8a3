//! Records of the fleet's members, which nodes exchange by gossip.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use snafu::Snafu;
use yuccatray_proto::peer_v1 as wire;

/// Identity of one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberId {
    /// Name of the node from its settings.
    pub name: Arc<str>,
    /// Incarnation number; increases each time that a node of this name restarts.
    pub incarnation: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

/// Error for a text that is not a node's name and incarnation.
#[derive(Debug, Snafu)]
#[snafu(display("not a name and an incarnation in hexadecimal"))]
pub struct MemberIdError;

impl FromStr for MemberId {
    type Err = MemberIdError;

    fn from_str(text: &str) -> Result<Self, MemberIdError> {
        let (name, incarnation) = text.rsplit_once('.').ok_or(MemberIdError)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_not_hexadecimal| MemberIdError)?;
        Ok(Self { name: Arc::from(name), incarnation })
    }
}

/// State of one incarnation; of two records with the same version, the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Reachable by its peers.
    Alive,
    /// Did not answer a probe; it may still refute the suspicion.
    Suspect,
    /// Announced that it is stopping.
    Leaving,
    /// Considered failed; final for this incarnation.
    Dead,
}

/// Announcement of the upstream beside a node, as gossiped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Service that the upstream serves.
    pub service: Arc<str>,
    /// Calls that the upstream runs concurrently, as it announced.
    pub slots: u32,
    /// Whether the upstream accepts no new calls.
    pub draining: bool,
}

/// Record of a node, as held by the nodes of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name and incarnation.
    pub id: MemberId,
    /// Version of this record within the incarnation; only the node itself increments it.
    pub version: u64,
    /// State of the incarnation.
    pub state: MemberState,
    /// Region from the node's settings.
    pub region: Arc<str>,
    /// Availability zone from the node's settings.
    pub zone: Arc<str>,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Address for callers.
    pub ingress_addr: SocketAddr,
    /// Address for operators and their tools.
    pub admin_addr: SocketAddr,
    /// Upstream beside the node, if one has announced itself.
    pub upstream: Option<UpstreamInfo>,
}

impl Member {
    /// Returns whether both nodes are in the same availability zone.
    #[must_use]
    pub fn shares_zone_with(&self, other: &Self) -> bool {
        self.zone == other.zone && self.region == other.region
    }

    /// Returns whether new calls may be sent to the node's upstream.
    #[must_use]
    pub fn accepts_calls(&self) -> bool {
        let ready = self.upstream.as_ref().is_some_and(|upstream| !upstream.draining);
        ready && matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns whether `self` replaces `other`, a record of the same name.
    ///
    /// The higher incarnation wins. Within an incarnation `Dead` is final; otherwise the higher version wins,
    /// and at the same version the greater state.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let own_rank = (self.id.incarnation, self.state == MemberState::Dead, self.version, self.state);
        let other_rank = (other.id.incarnation, other.state == MemberState::Dead, other.version, other.state);
        own_rank > other_rank
    }
}

impl From<&Member> for wire::Member {
    fn from(member: &Member) -> Self {
        Self {
            name: member.id.name.to_string(),
            incarnation: member.id.incarnation,
            version: member.version,
            state: wire::MemberState::from(member.state).into(),
            region: member.region.to_string(),
            zone: member.zone.to_string(),
            peer_addr: member.peer_addr.to_string(),
            ingress_addr: member.ingress_addr.to_string(),
            admin_addr: member.admin_addr.to_string(),
            upstream: member.upstream.as_ref().map(wire::Upstream::from),
        }
    }
}

impl From<&UpstreamInfo> for wire::Upstream {
    fn from(upstream: &UpstreamInfo) -> Self {
        Self { service: upstream.service.to_string(), slots: upstream.slots, draining: upstream.draining }
    }
}

impl From<MemberState> for wire::MemberState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Leaving => Self::Leaving,
            MemberState::Dead => Self::Dead,
        }
    }
}

/// Converts a member from its wire form; `None` if the state is unspecified or an address is invalid.
#[must_use]
pub fn member_from_wire(message: &wire::Member) -> Option<Member> {
    Some(Member {
        id: MemberId { name: Arc::from(message.name.as_str()), incarnation: message.incarnation },
        version: message.version,
        state: state_from_wire(message.state())?,
        region: Arc::from(message.region.as_str()),
        zone: Arc::from(message.zone.as_str()),
        peer_addr: message.peer_addr.parse().ok()?,
        ingress_addr: message.ingress_addr.parse().ok()?,
        admin_addr: message.admin_addr.parse().ok()?,
        upstream: message.upstream.as_ref().map(upstream_from_wire),
    })
}

fn upstream_from_wire(message: &wire::Upstream) -> UpstreamInfo {
    UpstreamInfo {
        service: Arc::from(message.service.as_str()),
        slots: message.slots,
        draining: message.draining,
    }
}

const fn state_from_wire(state: wire::MemberState) -> Option<MemberState> {
    match state {
        wire::MemberState::Unspecified => None,
        wire::MemberState::Alive => Some(MemberState::Alive),
        wire::MemberState::Suspect => Some(MemberState::Suspect),
        wire::MemberState::Leaving => Some(MemberState::Leaving),
        wire::MemberState::Dead => Some(MemberState::Dead),
    }
}
