//! Routes: which one takes a request, how its requests are divided, and that none comes back.

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

fn route(host: &str, path_prefix: &str, parts: &[(&str, u32)]) -> RouteSpec {
    let destinations =
        parts.iter().map(|(service, weight)| Destination { service: Arc::from(*service), weight: *weight });
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
    }
}

fn set(routes: Vec<RouteSpec>) -> RouteSet {
    let service =
        RoutedService { name: Arc::from("a"), health_path: Arc::from("/health"), max_connections: 10 };
    RouteSet { version: Arc::from("1"), routes, services: vec![service], limits: LIMITS }
}

fn published(revision: u64, routes: Vec<RouteSpec>) -> Published {
    let routes = Some(set(routes));
    Published { service: Arc::from(ROUTES_NAME), revision, epoch: 0, config: None, routes }
}

fn found<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|route| route.spec.path_prefix.as_ref())
}

#[test]
fn find_longest_prefix_of_the_host() {
    let routes = vec![
        route("shop.example", "/a/", &[("a", 1)]),
        route("shop.example", "/a/b/", &[("a", 1)]),
        route("other.example", "/a/b/c/", &[("a", 1)]),
    ];
    let table = RouteTable::new(&set(routes), 1, None);
    assert_eq!(found(&table, "shop.example", "/a/x"), Some("/a/"));
    assert_eq!(found(&table, "shop.example", "/a/b/c/"), Some("/a/b/"));
    assert_eq!(found(&table, "SHOP.example:8080", "/a/b/"), Some("/a/b/"), "letter case and port apart");
    assert_eq!(found(&table, "shop.example", "/a"), None, "a prefix ends with its slash");
    assert_eq!(found(&table, "nowhere.example", "/a/"), None);
}

#[test]
fn next_service_in_proportion() {
    let routes = vec![route("shop.example", "/a/", &[("a", 90), ("b", 10), ("c", 0)])];
    let table = RouteTable::new(&set(routes), 1, None);
    let route = table.find("shop.example", "/a/").expect("the route is there");
    for requests in [50_usize, 300, 5_000] {
        let mut counts: IndexMap<Arc<str>, usize> = IndexMap::new();
        for _ in 0..requests {
            let service = route.next_service().expect("the route has services");
            *counts.entry(Arc::clone(service)).or_default() += 1;
        }
        let tenth = counts.get("b").copied().unwrap_or(0);
        assert!(tenth.abs_diff(requests / 10) <= 2, "{tenth} of {requests}");
        assert_eq!(counts.get("c"), None, "a part without weight gets nothing");
    }
}

#[test]
fn table_learns_on_across_revisions() {
    let routes = vec![route("shop.example", "/a/", &[("a", 1)])];
    let first = RouteTable::new(&set(routes.clone()), 1, None);
    let took = std::time::Duration::from_millis(40);
    first.find("shop.example", "/a/").expect("the route is there").typical_time.observe(took);
    let second = RouteTable::new(&set(routes), 2, Some(&first));
    assert_eq!(second.find("shop.example", "/a/").expect("the route is there").typical_time.get(), took);
}

#[test]
fn apply_lower_revision_refused() {
    let table = ConfigTable::new();
    assert!(table.apply(published(7, vec![route("shop.example", "/new/", &[("a", 1)])])));
    assert!(!table.apply(published(6, vec![route("shop.example", "/old/", &[("a", 1)])])));
    let routes = table.routes().expect("routes are known");
    assert_eq!(routes.revision(), 7);
    assert_eq!(found(&routes, "shop.example", "/old/"), None);
}

#[test]
fn services_of_routes_are_configured() {
    let table = ConfigTable::new();
    assert!(table.get("a").is_none());
    table.apply(published(3, vec![route("shop.example", "/a/", &[("a", 1)])]));
    let service = table.get("a").expect("the service is configured");
    let config = service.config.as_ref().expect("it is not deleted");
    assert_eq!(config.priorities.priorities["1"].objective_ms, 300);
    assert_eq!(config.upstream_rule.max_connections, 10);
}
