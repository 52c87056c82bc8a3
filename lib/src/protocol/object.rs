//! Objects of the platform's API as the product sees them.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The kinds of object that yuccatray keeps in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKind {
    /// A balanced service, written by operators.
    Service,
    /// A set of priorities that services refer to, written by operators.
    PrioritySet,
    /// How upstreams join, leave and stop, written by operators.
    UpstreamRule,
    /// The configuration of a service as validated and published.
    Published,
    /// What became of a service's configuration.
    ServiceStatus,
    /// A lease held by one node.
    Lease,
    /// Addresses of nodes that others may join through.
    Rendezvous,
    /// The routes of the fleet, where operators write them as one whole.
    Routes,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [Self; 8] = [
        Self::Service,
        Self::PrioritySet,
        Self::UpstreamRule,
        Self::Published,
        Self::ServiceStatus,
        Self::Lease,
        Self::Rendezvous,
        Self::Routes,
    ];

    /// Kinds that operators write.
    pub const WRITABLE: [Self; 3] = [Self::Service, Self::PrioritySet, Self::UpstreamRule];

    /// The name in addresses and files.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Service => "Service",
            Self::PrioritySet => "PrioritySet",
            Self::UpstreamRule => "UpstreamRule",
            Self::Published => "Published",
            Self::ServiceStatus => "ServiceStatus",
            Self::Lease => "Lease",
            Self::Rendezvous => "Rendezvous",
            Self::Routes => "Routes",
        }
    }

    /// The kind of that name, letter case apart.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name().eq_ignore_ascii_case(name))
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One object with the platform's own bookkeeping.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: Arc<str>,
    /// Identity that a later object of the same name does not share.
    pub uid: Arc<str>,
    /// Version of the whole store at which this object last changed.
    pub version: u64,
    /// The object itself.
    pub value: Value,
}

/// What a write demands of the object that it replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No object of the name exists.
    Absent,
    /// The object is still at this version.
    Version(u64),
}
