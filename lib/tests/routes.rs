//! Routes: matching of requests, division by weight, and application of new revisions.

use std::sync::Arc;

use indexmap::IndexMap;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::route::CallerLimits;
use yuccatray::protocol::route::Destination;
use yuccatray::protocol::route::ROUTES_NAME;
use yuccatray::protocol::route::RouteSet;
use yuccatray::protocol::route::RouteSpec;
use yuccatray::protocol::route::RoutedService;
use yuccatray::state::config_table::ConfigTable;
use yuccatray::state::route_table::RouteTable;

const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16_384,
    max_body_bytes: 1_048_576,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

fn route(host: &str, path_prefix: &str, weights: &[(&str, u32)]) -> RouteSpec {
    let destinations =
        weights.iter().map(|(service, weight)| Destination { service: Arc::from(*service), weight: *weight });
    RouteSpec {
        name: Arc::from(path_prefix),
        host: Arc::from(host),
        path_prefix: Arc::from(path_prefix),
        destinations: destinations.collect(),
        idempotent: true,
        objective_ms: 300,
        timeout_ms: Some(1_000),
        max_attempts: 2,
        priority: 1,
        public: false,
    }
}

fn route_set(routes: Vec<RouteSpec>) -> RouteSet {
    let service = RoutedService {
        name: Arc::from("a"),
        health_path: Arc::from("/health"),
        max_connections: 10,
        cold_start: None,
    };
    let (version, services) = (Arc::from("1"), vec![service]);
    RouteSet { version, revision: 1, routes, services, limits: LIMITS, tenants: None }
}

fn published(revision: u64, routes: Vec<RouteSpec>) -> Published {
    let routes = Some(route_set(routes));
    Published { service: Arc::from(ROUTES_NAME), revision, epoch: 0, config: None, routes, evacuations: None }
}

fn find_prefix<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.route_for(host, path).map(|route| route.spec.path_prefix.as_ref())
}

#[test]
fn find_returns_longest_prefix_of_the_host() {
    let routes = vec![
        route("shop.example", "/a/", &[("a", 1)]),
        route("shop.example", "/a/b/", &[("a", 1)]),
        route("other.example", "/a/b/c/", &[("a", 1)]),
    ];
    let table = RouteTable::new(&route_set(routes), 1, None);
    assert_eq!(find_prefix(&table, "shop.example", "/a/x"), Some("/a/"));
    assert_eq!(find_prefix(&table, "shop.example", "/a/b/c/"), Some("/a/b/"));
    assert_eq!(
        find_prefix(&table, "SHOP.example:8080", "/a/b/"),
        Some("/a/b/"),
        "letter case and port are ignored"
    );
    assert_eq!(
        find_prefix(&table, "shop.example", "/a"),
        None,
        "the path must contain the final slash of the prefix"
    );
    assert_eq!(find_prefix(&table, "nowhere.example", "/a/"), None);
}

#[test]
fn next_service_follows_weights() {
    let routes = vec![route("shop.example", "/a/", &[("a", 90), ("b", 10), ("c", 0)])];
    let table = RouteTable::new(&route_set(routes), 1, None);
    let route = table.route_for("shop.example", "/a/").expect("the route exists");
    for requests in [50_usize, 300, 5_000] {
        let mut counts: IndexMap<Arc<str>, usize> = IndexMap::new();
        for _ in 0..requests {
            let service = route.next_service().expect("the route has services");
            *counts.entry(Arc::clone(service)).or_default() += 1;
        }
        let count_of_b = counts.get("b").copied().unwrap_or(0);
        assert!(
            count_of_b.abs_diff(requests / 10) <= 2,
            "{count_of_b} of {requests} requests went to the service of weight 10"
        );
        assert_eq!(counts.get("c"), None, "a service of weight 0 receives no requests");
    }
}

#[test]
fn new_table_keeps_typical_time_of_route() {
    let routes = vec![route("shop.example", "/a/", &[("a", 1)])];
    let first = RouteTable::new(&route_set(routes.clone()), 1, None);
    let service_time = std::time::Duration::from_millis(40);
    first.route_for("shop.example", "/a/").expect("the route exists").typical_time.record(service_time);
    let second = RouteTable::new(&route_set(routes), 2, Some(&first));
    assert_eq!(
        second.route_for("shop.example", "/a/").expect("the route exists").typical_time.get(),
        service_time
    );
}

#[test]
fn apply_ignores_lower_revision() {
    let table = ConfigTable::new();
    assert!(table.apply(published(7, vec![route("shop.example", "/new/", &[("a", 1)])])));
    assert!(!table.apply(published(6, vec![route("shop.example", "/old/", &[("a", 1)])])));
    let routes = table.routes().expect("the table has routes");
    assert_eq!(routes.revision(), 7);
    assert_eq!(find_prefix(&routes, "shop.example", "/old/"), None);
}

#[test]
fn apply_configures_services_of_routes() {
    let table = ConfigTable::new();
    assert!(table.get("a").is_none());
    table.apply(published(3, vec![route("shop.example", "/a/", &[("a", 1)])]));
    let service = table.get("a").expect("the service is configured");
    let config = service.config.as_ref().expect("the service is not deleted");
    assert_eq!(config.priorities.priorities["1"].objective_ms, 300);
    assert_eq!(config.upstream_rule.max_connections, 10);
}

/// Guards against explanations that move the weighted distribution or name another destination than the next one.
#[test]
fn peek_service_names_next_and_counts_nothing() {
    let routes = vec![route("h", "/", &[("a", 70), ("b", 30)])];
    let table = RouteTable::new(&route_set(routes), 1, None);
    let route = table.route_for("h", "/").expect("the route exists");
    for _ in 0..200 {
        let peeked = route.peek_service();
        assert_eq!(peeked, route.peek_service());
        assert_eq!(peeked, route.next_service());
    }
}
