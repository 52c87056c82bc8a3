//! The routes of the fleet, indexed by host and path prefix for an ingress.
//!
//! Services that are declared only by routes get a configuration of built-in defaults here.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::published::PublishedSources;
use crate::protocol::route::CallerLimits;
use crate::protocol::route::RouteSet;
use crate::protocol::route::RouteSpec;
use crate::protocol::route::RoutedService;
use crate::protocol::service_spec::HedgeSpec;
use crate::protocol::service_spec::MeasuringSpec;
use crate::protocol::service_spec::PrioritySetSpec;
use crate::protocol::service_spec::PrioritySpec;
use crate::protocol::service_spec::RetrySpec;
use crate::protocol::service_spec::ServiceSpec;
use crate::protocol::service_spec::UpstreamRuleSpec;
use crate::state::tenant_table::TenantTable;
use crate::state::typical_time::TypicalTime;
use crate::state::usual_timeout::UsualTimeout;

/// Number of priority ranks that a gate distinguishes; less urgent priorities share the last rank.
pub const RANK_COUNT: u8 = 4;
/// Latency objective of a rank that no route of the service uses, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 1_000;
/// Share of an upstream that is guaranteed to each rank under overload, in percent.
const MIN_RANK_SHARE_PERCENT: u32 = 10;
/// Calls of one rank that may wait at a gate.
const MAX_QUEUED_CALLS: u32 = 200;
/// Timeout of calls that specify none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Time without a heartbeat after which the announcement of an upstream expires, in milliseconds.
const ANNOUNCE_TTL_MS: u64 = 8_000;
/// Time that in-flight calls of a draining upstream have to finish, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 30_000;
/// Time over which the traffic share of a new upstream grows to its full size, in milliseconds.
const RAMP_MS: u64 = 2_000;
/// Share of a service's upstreams that may be ejected at the same time, in percent.
const MAX_EJECTED_PERCENT: u32 = 50;
/// Share of an upstream's slots that the calls of each rank may occupy, in percent.
///
/// Upstreams may slow down near capacity, and urgent calls need a slot without waiting.
const USABLE_SLOTS_PERCENT: [u32; RANK_COUNT as usize] = [100, 80, 60, 50];
/// Retries and hedged requests per 100 calls of a service.
///
/// Set below the limit for all nodes together, since the calls that a duplicate execution makes are
/// duplicates too.
const RETRY_PERCENT: u32 = 12;
/// Unused retries that one node may accumulate; few, since all nodes may spend theirs at the same time.
const MAX_SAVED_RETRIES: u32 = 3;
/// Share of a rank's queue that one caller may occupy, in percent.
const MAX_CALLER_QUEUE_PERCENT: u32 = 100;
/// The golden ratio's fraction scaled to 64 bits; its wrapping multiples are evenly distributed.
const GOLDEN_RATIO_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// One route with its typical service time and the state of its weighted distribution.
#[derive(Debug)]
pub struct Route {
    /// Declaration of the route.
    pub spec: RouteSpec,
    /// Typical service time of its calls at upstreams.
    pub typical_time: Arc<TypicalTime>,
    /// Timeout that its callers usually start with.
    pub usual_timeout: Arc<UsualTimeout>,
    total_weight: u64,
    /// Number of requests distributed so far, from a random start.
    request_count: AtomicU64,
}

/// All routes of one revision and the services that they declare.
#[derive(Debug)]
pub struct RouteTable {
    revision: u64,
    version: Arc<str>,
    applied_at: Instant,
    by_host: IndexMap<Arc<str>, Vec<Route>>,
    services: IndexMap<Arc<str>, Arc<Published>>,
    limits: CallerLimits,
    /// Tenants of the same revision; requests need no key when absent.
    tenants: Option<TenantTable>,
}

impl Route {
    /// Creates a route, which takes over what its `previous` version has learned from calls.
    fn new(spec: RouteSpec, previous: Option<&Self>) -> Self {
        let total_weight = spec.destinations.iter().map(|destination| u64::from(destination.weight)).sum();
        Self {
            spec,
            typical_time: previous.map(|route| Arc::clone(&route.typical_time)).unwrap_or_default(),
            usual_timeout: previous.map(|route| Arc::clone(&route.usual_timeout)).unwrap_or_default(),
            total_weight,
            request_count: AtomicU64::new(rand::random()),
        }
    }

    /// Returns the service for the next request, distributing requests in proportion to the weights.
    ///
    /// `None` if the route has no destinations.
    #[must_use]
    pub fn next_service(&self) -> Option<&Arc<str>> {
        self.service_of_request(self.request_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the service that the next request will go to, without counting a request.
    #[must_use]
    pub fn peek_service(&self) -> Option<&Arc<str>> {
        self.service_of_request(self.request_count.load(Ordering::Relaxed))
    }

    fn service_of_request(&self, request_number: u64) -> Option<&Arc<str>> {
        let fraction = u128::from(request_number.wrapping_mul(GOLDEN_RATIO_STEP));
        let mut offset = u64::try_from((fraction * u128::from(self.total_weight)) >> 64).unwrap_or(0);
        for destination in &self.spec.destinations {
            let weight = u64::from(destination.weight);
            if offset < weight {
                return Some(&destination.service);
            }
            offset -= weight;
        }
        self.spec.destinations.first().map(|destination| &destination.service)
    }
}

impl RouteTable {
    /// Creates the table of a set of routes, taking over what routes in the `previous` table have learned.
    #[must_use]
    pub fn new(set: &RouteSet, revision: u64, previous: Option<&Self>) -> Self {
        let mut by_host: IndexMap<Arc<str>, Vec<Route>> = IndexMap::new();
        for spec in &set.routes {
            let host: Arc<str> = Arc::from(spec.host.to_ascii_lowercase());
            let previous_route = previous.and_then(|table| table.declared_route(&host, &spec.path_prefix));
            let route = Route::new(spec.clone(), previous_route);
            by_host.entry(host).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.path_prefix.len()));
        }
        let services = set.services.iter().map(|service| {
            let published = service_config(set, service, revision);
            (Arc::clone(&service.name), Arc::new(published))
        });
        Self {
            revision,
            version: Arc::clone(&set.version),
            applied_at: Instant::now(),
            by_host,
            services: services.collect(),
            limits: set.limits,
            tenants: set.tenants.as_deref().map(TenantTable::new),
        }
    }

    /// Returns the revision of the table.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the operators' name for this version.
    #[must_use]
    pub const fn version(&self) -> &Arc<str> {
        &self.version
    }

    /// Returns the time since when the node has this table.
    #[must_use]
    pub const fn applied_at(&self) -> Instant {
        self.applied_at
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the tenants whose keys requests need, or `None` if requests need no key.
    #[must_use]
    pub const fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Returns the route of a request: the one of its host with the longest matching path prefix.
    ///
    /// A port in `host` is ignored, and so is the case of its letters.
    #[must_use]
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.spec.path_prefix.as_ref()))
    }

    /// Returns the route that is declared for this host and path prefix.
    fn declared_route(&self, host: &str, path_prefix: &str) -> Option<&Route> {
        self.by_host.get(host)?.iter().find(|route| *route.spec.path_prefix == *path_prefix)
    }

    /// Returns the configuration of a service that the routes declare.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Published>> {
        self.services.get(name)
    }
}

/// Returns the rank of a priority at gates; priorities beyond the last rank share it.
#[must_use]
pub fn gate_rank(priority: u8) -> u8 {
    priority.min(RANK_COUNT - 1)
}

/// Returns the configuration of a service: the objectives of its routes, and defaults for the rest.
fn service_config(set: &RouteSet, service: &RoutedService, revision: u64) -> Published {
    let RoutedService { name, health_path, max_connections, cold_start } = service;
    let routes = set
        .routes
        .iter()
        .filter(|route| route.destinations.iter().any(|destination| destination.service == *name));
    let mut objectives = [None::<u64>; RANK_COUNT as usize];
    for route in routes {
        let objective = &mut objectives[usize::from(gate_rank(route.priority))];
        *objective = Some(objective.map_or(route.objective_ms, |smallest| smallest.min(route.objective_ms)));
    }
    let priorities = objectives.iter().enumerate().map(|(index, objective)| {
        let spec = PrioritySpec {
            objective_ms: objective.unwrap_or(DEFAULT_OBJECTIVE_MS),
            target_percent: 99.0,
            weight: 1,
            min_share_percent: MIN_RANK_SHARE_PERCENT,
            max_queue: MAX_QUEUED_CALLS,
            max_caller_queue_percent: MAX_CALLER_QUEUE_PERCENT,
            serve_late: true,
            usable_slots_percent: USABLE_SLOTS_PERCENT[index],
        };
        (Arc::from(index.to_string()), spec)
    });
    let config = PublishedConfig {
        sources: PublishedSources {
            service_uid: Arc::clone(name),
            service_version: revision,
            priority_set_version: revision,
            upstream_rule_version: revision,
        },
        service: ServiceSpec {
            priority_set: Arc::clone(name),
            upstream_rule: Arc::clone(name),
            default_priority: Arc::from("0"),
            default_timeout_ms: DEFAULT_TIMEOUT_MS,
            idempotent_methods: Vec::new(),
            max_body_bytes: set.limits.max_body_bytes,
            retry: RetrySpec {
                budget_percent: RETRY_PERCENT,
                max_saved: MAX_SAVED_RETRIES,
                ..RetrySpec::default()
            },
            hedge: HedgeSpec::default(),
            measuring: MeasuringSpec { load_path: Some(Arc::clone(health_path)), ..MeasuringSpec::default() },
        },
        priorities: PrioritySetSpec { priorities: priorities.collect() },
        upstream_rule: UpstreamRuleSpec {
            ramp_ms: RAMP_MS,
            announce_ttl_ms: ANNOUNCE_TTL_MS,
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            max_connections: *max_connections,
            max_ejected_percent: MAX_EJECTED_PERCENT,
            adaptive_limit: false,
        },
        cold_start: *cold_start,
    };
    Published {
        service: Arc::clone(name),
        revision,
        epoch: 0,
        config: Some(config),
        routes: None,
        evacuations: None,
    }
}
