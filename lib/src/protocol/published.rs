//! Published configuration of a service, and the status that reports its roll-out.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::protocol::evacuation::EvacuationSet;
use crate::protocol::route::ColdStart;
use crate::protocol::route::RouteSet;
use crate::protocol::service_spec::PrioritySetSpec;
use crate::protocol::service_spec::ServiceSpec;
use crate::protocol::service_spec::UpstreamRuleSpec;

/// One complete revision of a service's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Name of the service.
    pub service: Arc<str>,
    /// Revision number; increases with each publication, also after the service is deleted and re-created.
    ///
    /// It is not a version of the store, which a restore of the store sets back.
    pub revision: u64,
    /// Lease epoch of the node that published it.
    pub epoch: u64,
    /// Configuration, or `None` after the service was deleted.
    pub config: Option<PublishedConfig>,
    /// Routes of the fleet; set only in the entry for the routes, whose `service` is not that of a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<RouteSet>,
    /// Evacuated zones; set only in the entry for the evacuations, whose `service` is not that of a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuationSet>,
}

/// Configuration of a service with the objects that it refers to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Versions of the objects that the configuration was built from.
    pub sources: PublishedSources,
    /// Content of the `Service` object.
    pub service: ServiceSpec,
    /// Content of the `PrioritySet` object.
    pub priorities: PrioritySetSpec,
    /// Content of the `UpstreamRule` object.
    pub upstream_rule: UpstreamRuleSpec,
    /// Behaviour of upstreams after their start, which only routes declare.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
}

/// Versions of the objects that a publication was built from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSources {
    /// Identity of the `Service` object.
    pub service_uid: Arc<str>,
    /// Version of the `Service` object.
    pub service_version: u64,
    /// Version of the `PrioritySet` object.
    pub priority_set_version: u64,
    /// Version of the `UpstreamRule` object.
    pub upstream_rule_version: u64,
}

/// Status of a service's configuration: validation, publication and roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Version of the `Service` object that the status describes.
    pub observed_version: u64,
    /// Whether that version was accepted.
    pub accepted: bool,
    /// Problems by field if that version was rejected.
    #[serde(default)]
    pub problems: Vec<FieldProblem>,
    /// Published revision, if any.
    pub revision: Option<u64>,
    /// Nodes that have applied that revision.
    pub applied_nodes: u32,
    /// Nodes known to be alive.
    pub known_nodes: u32,
    /// Live nodes whose applied revision is not known.
    #[serde(default)]
    pub unknown_nodes: u32,
    /// Nodes known to have applied an older revision; the list is bounded.
    #[serde(default)]
    pub lagging_nodes: Vec<LaggingNode>,
    /// Whether every known node has applied that revision.
    pub applied: bool,
    /// Upstreams of the service that accept calls and were announced long enough ago for every node to know.
    pub ready_upstreams: u32,
    /// Lease epoch of the node that wrote the status.
    #[serde(default)]
    pub epoch: u64,
    /// Time at which the status was written, in milliseconds since 1970 by the writer's clock.
    #[serde(default)]
    pub written_unix_ms: u64,
}

/// Node that has not applied the published revision yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LaggingNode {
    /// Name of the node.
    pub node: Arc<str>,
    /// Revision that the node has applied, 0 for none.
    pub revision: u64,
    /// Time at which the node was first found to lag, in milliseconds since 1970 by the writer's clock.
    pub since_unix_ms: u64,
}

/// Problem with one field of an object or of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FieldProblem {
    /// Path to the field, such as `/spec/retry/max_attempts`.
    pub field: String,
    /// Description of the problem and of the allowed values.
    pub problem: String,
}
