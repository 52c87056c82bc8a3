//! Routes of the external dialect: which requests go to which services, with their objectives and limits.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::tenant::TenantSpec;

/// Name under which the routes of the fleet are published, next to the names of services.
///
/// Nodes that order routes by revisions of the store publish them as `routes`.
pub const ROUTES_NAME: &str = "route-versions";

/// Service to which a route sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service among the destinations of the route.
    pub weight: u32,
}

/// Route for the requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route in logs and metrics.
    pub name: Arc<str>,
    /// Host that the request must name.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at both ends; the longest matching prefix wins.
    pub path_prefix: Arc<str>,
    /// Destinations among which the requests are split by weight, whatever the state of their upstreams.
    pub destinations: Vec<Destination>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Maximum time that a caller waits, in milliseconds; the route sets no limit when absent.
    pub timeout_ms: Option<u64>,
    /// Maximum number of upstreams to which one request is sent, including the first.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key where the configuration has tenants.
    #[serde(default)]
    pub public: bool,
}

/// How upstreams of a service behave for some time after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which an upstream is usually cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of requests that a cold upstream tolerates in a second.
    pub max_requests_per_s: u32,
}

/// Service as declared in the configuration of the routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path at which upstreams answer health checks.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Behaviour of its upstreams after their start; `None` if they are always warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a header section, in bytes.
    pub max_header_bytes: u32,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a persistent connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One complete revision of the fleet's routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSet {
    /// Name that the operators gave this version.
    pub version: Arc<str>,
    /// Number of the version, which operators increase with each change.
    ///
    /// Unlike a revision of the store it does not go back when the store is restored from a copy.
    pub revision: u64,
    /// Routes of the fleet.
    pub routes: Vec<RouteSpec>,
    /// Services that routes may name as destinations.
    pub services: Vec<RoutedService>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Tenants whose keys requests need on routes that are not public; requests need no key when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<TenantSpec>>,
}
