//! The configuration of a service as published to every node.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::protocol::route::RouteSet;
use crate::protocol::service_spec::PrioritySetSpec;
use crate::protocol::service_spec::ServiceSpec;
use crate::protocol::service_spec::UpstreamRuleSpec;

/// One revision of a service's configuration, complete in itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Name of the service.
    pub service: Arc<str>,
    /// Grows with every publication of the name, also across delete and re-create.
    pub revision: u64,
    /// Lease epoch of the node that published it.
    pub epoch: u64,
    /// The configuration, or nothing once the service was deleted.
    pub config: Option<PublishedConfig>,
    /// The routes of the fleet, under their own name instead of a service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<RouteSet>,
}

/// The objects that a service refers to, resolved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Versions of the objects that this was made from.
    pub sources: PublishedSources,
    /// The service.
    pub service: ServiceSpec,
    /// Its priorities.
    pub priorities: PrioritySetSpec,
    /// The rule for its upstreams.
    pub upstream_rule: UpstreamRuleSpec,
}

/// Versions of the objects behind a publication.
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

/// What became of a service's configuration, for operators and their tests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Version of the `Service` object that this speaks of.
    pub observed_version: u64,
    /// Whether that version was accepted.
    pub accepted: bool,
    /// Reasons by field when it was refused.
    #[serde(default)]
    pub problems: Vec<FieldProblem>,
    /// Revision published, if any.
    pub revision: Option<u64>,
    /// Nodes that have applied that revision.
    pub applied_nodes: u32,
    /// Nodes known to be alive.
    pub known_nodes: u32,
    /// Live nodes of which it is not known what they have applied.
    #[serde(default)]
    pub unknown_nodes: u32,
    /// Some of the nodes known to hold less.
    #[serde(default)]
    pub lagging_nodes: Vec<LaggingNode>,
    /// Whether every known node has applied it.
    pub applied: bool,
    /// Upstreams of the service that take work and that every node has had time to hear of.
    pub ready_upstreams: u32,
    /// Lease epoch of the node that wrote this.
    #[serde(default)]
    pub epoch: u64,
    /// When this was written, in milliseconds since 1970 by the writer's clock.
    #[serde(default)]
    pub written_unix_ms: u64,
}

/// A node that holds less than the published revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LaggingNode {
    /// Name of the node.
    pub node: Arc<str>,
    /// Revision that it holds, 0 for none.
    pub revision: u64,
    /// When it was first seen to lag, in milliseconds since 1970 by the writer's clock.
    pub since_unix_ms: u64,
}

/// A fault in one field of an object or of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FieldProblem {
    /// Path to the field, such as `/spec/retry/max_attempts`.
    pub field: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}
