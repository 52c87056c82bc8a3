//! Routes as an ingress looks them up.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;

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
use crate::state::typical_time::TypicalTime;

/// Ranks told apart at a gate; less urgent ones share the last.
pub const RANKS: u8 = 4;
/// Objective of a rank that no route of the service has, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 1_000;
/// Share of an upstream that each rank keeps in any overload, in percent.
const RANK_SHARE_PERCENT: u32 = 10;
const MAX_QUEUE: u32 = 200;
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Time without a heartbeat after which an upstream is taken for gone, in milliseconds.
const ANNOUNCE_TTL_MS: u64 = 8_000;
const DRAIN_TIMEOUT_MS: u64 = 30_000;
const RAMP_MS: u64 = 2_000;
const MAX_EJECTED_PERCENT: u32 = 50;
/// Share of an upstream's slots that each rank may fill, in percent.
///
/// Upstreams may slow down when nearly full, and the urgent must find a slot at once.
const USABLE_SLOTS_PERCENT: [u32; RANKS as usize] = [100, 80, 60, 50];
/// Retries and second copies per hundred calls of a service.
///
/// It is below the share that all nodes together may use, since the calls of a copy's run are copies too.
const RETRY_PERCENT: u32 = 12;
/// Retries that one node may save up, few since all nodes may spend theirs at once.
const MAX_SAVED_RETRIES: u32 = 3;
const MAX_RANK_QUEUE_SHARE_PERCENT: u32 = 100;
/// Step of the golden ratio in 64 bits: its multiples fall evenly into any division of the range.
const EVEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// One route with what it needs to divide its requests.
#[derive(Debug)]
pub struct Route {
    /// As declared.
    pub spec: RouteSpec,
    /// Time that its calls usually take at upstreams.
    pub typical_time: Arc<TypicalTime>,
    total_weight: u64,
    taken: AtomicU64,
}

/// All routes at one revision.
#[derive(Debug)]
pub struct RouteTable {
    revision: u64,
    version: Arc<str>,
    by_host: IndexMap<Arc<str>, Vec<Route>>,
    services: IndexMap<Arc<str>, Arc<Published>>,
    limits: CallerLimits,
}

impl Route {
    fn new(spec: RouteSpec, typical_time: Arc<TypicalTime>) -> Self {
        let total_weight = spec.destinations.iter().map(|part| u64::from(part.weight)).sum();
        Self { spec, typical_time, total_weight, taken: AtomicU64::new(rand::random()) }
    }

    /// The service that the next request goes to, each in proportion to its weight.
    #[must_use]
    pub fn next_service(&self) -> Option<&Arc<str>> {
        let turn = self.taken.fetch_add(1, Ordering::Relaxed);
        let fraction = u128::from(turn.wrapping_mul(EVEN_STEP));
        let mut point = u64::try_from((fraction * u128::from(self.total_weight)) >> 64).unwrap_or(0);
        for part in &self.spec.destinations {
            let weight = u64::from(part.weight);
            if point < weight {
                return Some(&part.service);
            }
            point -= weight;
        }
        self.spec.destinations.first().map(|part| &part.service)
    }
}

impl RouteTable {
    /// The table of a set of routes, which goes on with what the former one learned.
    #[must_use]
    pub fn new(set: &RouteSet, revision: u64, former: Option<&Self>) -> Self {
        let mut by_host: IndexMap<Arc<str>, Vec<Route>> = IndexMap::new();
        for spec in &set.routes {
            let host: Arc<str> = Arc::from(spec.host.to_ascii_lowercase());
            let typical_time = former.and_then(|table| table.typical_time_of(&host, &spec.path_prefix));
            by_host.entry(host).or_default().push(Route::new(spec.clone(), typical_time.unwrap_or_default()));
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
            by_host,
            services: services.collect(),
            limits: set.limits,
        }
    }

    /// Revision of the table.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The operators' own name for this version.
    #[must_use]
    pub const fn version(&self) -> &Arc<str> {
        &self.version
    }

    /// Bounds on what callers may send.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of a request: the longest prefix among those of its host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.spec.path_prefix.as_ref()))
    }

    fn typical_time_of(&self, host: &str, path_prefix: &str) -> Option<Arc<TypicalTime>> {
        let same = self.by_host.get(host)?.iter().find(|route| *route.spec.path_prefix == *path_prefix);
        same.map(|route| Arc::clone(&route.typical_time))
    }

    /// The configuration of a service that routes go to.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Published>> {
        self.services.get(name)
    }
}

/// Position of a rank among those that gates tell apart.
#[must_use]
pub fn rank(priority: u8) -> u8 {
    priority.min(RANKS - 1)
}

fn service_config(set: &RouteSet, service: &RoutedService, revision: u64) -> Published {
    let RoutedService { name, health_path, max_connections } = service;
    let routes =
        set.routes.iter().filter(|route| route.destinations.iter().any(|part| part.service == *name));
    let mut objectives = [None::<u64>; RANKS as usize];
    for route in routes {
        let slot = &mut objectives[usize::from(rank(route.priority))];
        *slot = Some(slot.map_or(route.objective_ms, |least| least.min(route.objective_ms)));
    }
    let priorities = objectives.iter().enumerate().map(|(index, objective)| {
        let spec = PrioritySpec {
            objective_ms: objective.unwrap_or(DEFAULT_OBJECTIVE_MS),
            target_percent: 99.0,
            weight: 1,
            min_share_percent: RANK_SHARE_PERCENT,
            max_queue: MAX_QUEUE,
            max_caller_queue_percent: MAX_RANK_QUEUE_SHARE_PERCENT,
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
    };
    Published { service: Arc::clone(name), revision, epoch: 0, config: Some(config), routes: None }
}
