//! Routes: which requests go to which services, and what each may cost.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Name under which the routes of the fleet are published beside the services.
pub const ROUTES_NAME: &str = "routes";

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its part of the route's requests against the other destinations'.
    pub weight: u32,
}

/// Requests of one host under one path, and where they go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Host that the request names.
    pub host: Arc<str>,
    /// Beginning of the path, a slash at both ends; the longest one that fits decides.
    pub path_prefix: Arc<str>,
    /// Where the requests go; none takes another's part.
    pub destinations: Vec<Destination>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// Longest time that a caller waits, in milliseconds; no bound of the route's own when absent.
    pub timeout_ms: Option<u64>,
    /// Upstreams that one request may be sent to, the first included.
    pub max_attempts: u32,
    /// Rank of the requests, 0 the most urgent.
    pub priority: u8,
}

/// A service as far as the routes' own configuration declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedService {
    /// Name of the service.
    pub name: Arc<str>,
    /// Path of the upstreams' health probe.
    pub health_path: Arc<str>,
    /// Connections that one upstream takes from all callers together.
    pub max_connections: u32,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub max_header_bytes: u32,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time for a header section to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a kept connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Every route of the fleet at one revision, complete in itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSet {
    /// The operators' own name for this version.
    pub version: Arc<str>,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services that routes may name.
    pub services: Vec<RoutedService>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}
