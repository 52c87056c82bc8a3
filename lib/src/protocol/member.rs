//! What nodes tell one another about themselves.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use snafu::Snafu;
use yuccatray_proto::peer_v1 as wire;

/// One life of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberId {
    /// Name of the node from its settings.
    pub name: Arc<str>,
    /// Incarnation, larger for every later life of the name.
    pub incarnation: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

/// A text is no name and incarnation of a node.
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

/// What is said of one incarnation; a later state goes before an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers its peers.
    Alive,
    /// Did not answer, and may refute it.
    Suspect,
    /// Announced that it stops.
    Leaving,
    /// Is taken for gone; this incarnation never comes back.
    Dead,
}

/// What an upstream announced to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Service that the upstream serves.
    pub service: Arc<str>,
    /// Calls that it runs at once, by its own word.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// A node as known to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which life of which node.
    pub id: MemberId,
    /// Version of this description, raised by the node itself.
    pub version: u64,
    /// What is said of it.
    pub state: MemberState,
    /// Region from the node's settings.
    pub region: Arc<str>,
    /// Availability zone from the node's settings.
    pub zone: Arc<str>,
    /// Where peers reach it.
    pub peer_addr: SocketAddr,
    /// Where callers reach it.
    pub ingress_addr: SocketAddr,
    /// Where operators and their tools reach it.
    pub admin_addr: SocketAddr,
    /// Its upstream, once one has announced itself.
    pub upstream: Option<UpstreamInfo>,
}

impl Member {
    /// Whether both stand in one availability zone.
    #[must_use]
    pub fn shares_zone_with(&self, other: &Self) -> bool {
        self.zone == other.zone && self.region == other.region
    }

    /// Whether new calls may be sent to its upstream.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let ready = self.upstream.as_ref().is_some_and(|upstream| !upstream.draining);
        ready && matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether `self` says something newer than `other` of the same name.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let mine = (self.id.incarnation, self.state == MemberState::Dead, self.version, self.state);
        let theirs = (other.id.incarnation, other.state == MemberState::Dead, other.version, other.state);
        mine > theirs
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

/// Reads a member off the wire, or nothing when a field makes no sense.
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
