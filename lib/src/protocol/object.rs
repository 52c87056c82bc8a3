//! Objects that yuccatray reads and writes through the platform's object API.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Kind of an object that yuccatray keeps in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKind {
    /// Load-balanced service, written by operators.
    Service,
    /// Set of priorities that services refer to, written by operators.
    PrioritySet,
    /// Rule for how upstreams join, drain and are ejected, written by operators.
    UpstreamRule,
    /// Validated configuration of a service, as published to every node.
    Published,
    /// Status of a service's configuration: its validation, publication and roll-out.
    ServiceStatus,
    /// Lease held by one node.
    Lease,
    /// Seed registry: addresses of nodes through which others may join.
    Rendezvous,
    /// All routes of the fleet, where operators write them as one object.
    Routes,
    /// Share roster: how the right to spend the limits of tenants is divided among the nodes.
    QuotaRoster,
    /// Evacuation of the zone that the object is named after, written by operators.
    Evacuation,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [Self; 10] = [
        Self::Service,
        Self::PrioritySet,
        Self::UpstreamRule,
        Self::Published,
        Self::ServiceStatus,
        Self::Lease,
        Self::Rendezvous,
        Self::Routes,
        Self::QuotaRoster,
        Self::Evacuation,
    ];

    /// Kinds that operators write.
    pub const WRITABLE: [Self; 3] = [Self::Service, Self::PrioritySet, Self::UpstreamRule];

    /// Returns the name in URLs and files.
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
            Self::QuotaRoster => "QuotaRoster",
            Self::Evacuation => "Evacuation",
        }
    }

    /// Returns the kind with the given name, ignoring ASCII case.
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

/// Object with the metadata that the platform maintains.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: Arc<str>,
    /// Unique identity; an object re-created under the same name gets another one.
    pub uid: Arc<str>,
    /// Version of the whole store at the last change of this object.
    pub version: u64,
    /// Content of the object.
    pub value: Value,
}

/// Omits the content, which may hold API keys.
impl fmt::Debug for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Object")
            .field("kind", &self.kind)
            .field("name", &self.name)
            .field("uid", &self.uid)
            .field("version", &self.version)
            .finish_non_exhaustive()
    }
}

/// Condition on the stored object under which a write succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No object of this name exists.
    Absent,
    /// The stored object has this version.
    Version(u64),
}
