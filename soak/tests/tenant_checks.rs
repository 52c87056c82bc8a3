//! Tests that the checks of runs with tenants report planted faults, and nothing where the promises are kept.

use std::sync::Arc;
use std::time::Duration;

use yuccatray_platform_testutils::tenant_entries::TenantLimit;
use yuccatray_soak::tenant_checks::TenantViolation;
use yuccatray_soak::tenant_checks::tenant_violations;
use yuccatray_soak::tenant_record::Arrival;
use yuccatray_soak::tenant_record::Bounds;
use yuccatray_soak::tenant_record::Evacuation;
use yuccatray_soak::tenant_record::KeyPeriod;
use yuccatray_soak::tenant_record::KeyedCall;
use yuccatray_soak::tenant_record::Outage;
use yuccatray_soak::tenant_record::TenantRecord;

const TENANT: &str = "limited";
const KEPT: usize = 0;
const REMOVED: usize = 1;
const UNKNOWN: usize = 2;
/// Removal of a key, and start of the evacuation.
const CHANGED_AT_MS: u64 = 1_000;
/// Rate at which twice the permitted requests exceed what a window may hold.
const LIMIT: TenantLimit = TenantLimit { rate_per_s: 30, burst: 10 };

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record() -> TenantRecord {
    let key = |added_at, removed_at| KeyPeriod { tenant: Arc::from(TENANT), added_at, removed_at };
    TenantRecord {
        bounds: Bounds { config_apply: ms(2_500), evacuation: ms(5_000), cold_per_s: 13 },
        zones: vec!["a", "b"],
        limits: vec![(Arc::from(TENANT), LIMIT)],
        keys: vec![
            key(Some(Duration::ZERO), None),
            key(Some(Duration::ZERO), Some(ms(CHANGED_AT_MS))),
            key(None, None),
        ],
        calls: Vec::new(),
        arrivals: Vec::new(),
        evacuations: Vec::new(),
        outages: Vec::new(),
    }
}

/// A record under construction.
struct Scenario(TenantRecord);

impl Scenario {
    /// Adds a request with a key that was answered at once with a status.
    fn call(&mut self, key: usize, sent_at: Duration, status: u16) {
        let id = self.0.calls.len().to_string();
        self.0.calls.push(KeyedCall { id, node: 0, key, sent_at, status: Some(status) });
    }

    /// Adds a request that reached an upstream at once, and returns the record of that.
    fn run(&mut self, key: usize, at: Duration) -> &mut Arrival {
        self.call(key, at, 200);
        let id = (self.0.calls.len() - 1).to_string();
        let tenant = Some(TENANT.to_owned());
        self.0.arrivals.push(Arrival { id, node: 0, tenant, has_key: false, while_cold: false, at });
        self.0.arrivals.last_mut().expect("an arrival was added")
    }

    fn violations(&self) -> Vec<TenantViolation> {
        tenant_violations(&self.0)
    }
}

fn scenario() -> Scenario {
    Scenario(record())
}

/// Guards against an upstream that gets the key unnoticed.
#[test]
fn planted_key_at_upstream_found() {
    let mut scenario = scenario();
    scenario.run(KEPT, ms(10)).has_key = true;
    assert!(matches!(scenario.violations()[..], [TenantViolation::KeyAtUpstream(_)]));
}

/// Guards against upstreams that get another tenant or none.
#[test]
fn wrong_or_missing_tenant_found() {
    let mut scenario = scenario();
    scenario.run(KEPT, ms(10)).tenant = Some("other".to_owned());
    scenario.run(KEPT, ms(20)).tenant = None;
    scenario.run(KEPT, ms(30));
    assert_eq!(scenario.violations().len(), 2);
}

/// Guards against a removed key that stays valid, and against findings where a node could not know.
#[test]
fn planted_removed_key_found_on_nodes_in_touch() {
    let mut scenario = scenario();
    scenario.run(REMOVED, ms(CHANGED_AT_MS + 2_400));
    assert_eq!(scenario.violations(), []);
    scenario.run(REMOVED, ms(CHANGED_AT_MS + 2_600));
    assert!(matches!(scenario.violations()[..], [TenantViolation::RemovedKeyAccepted(_)]));
    scenario.0.outages.push(Outage { node: Some(1), from: ms(1_500), until: ms(3_000) });
    assert_eq!(scenario.violations().len(), 1, "another node was cut off");
    scenario.0.outages.push(Outage { node: None, from: ms(1_500), until: ms(1_600) });
    assert_eq!(scenario.violations(), []);
}

/// Guards against unknown keys that are accepted, and valid ones that are refused.
#[test]
fn wrong_decision_on_key_found() {
    let mut scenario = scenario();
    scenario.call(UNKNOWN, ms(10), 401);
    scenario.call(REMOVED, ms(9_000), 401);
    scenario.call(KEPT, ms(2_400), 401);
    assert_eq!(scenario.violations(), []);
    scenario.call(UNKNOWN, ms(20), 200);
    scenario.call(KEPT, ms(2_600), 401);
    assert!(matches!(
        scenario.violations()[..],
        [TenantViolation::UnknownKeyAccepted(_), TenantViolation::ValidKeyRefused(_)]
    ));
}

/// Adds `count` requests of the limited tenant, spread evenly over five seconds.
fn run_in_window(count: u64) -> Scenario {
    let mut scenario = scenario();
    for index in 0..count {
        scenario.run(KEPT, ms(4_000 + index * 5_000 / count));
    }
    scenario
}

/// Guards against tokens that are used twice.
#[test]
fn planted_token_used_twice_found() {
    assert_eq!(run_in_window(196).violations(), []);
    let violations = run_in_window(2 * 160).violations();
    let [TenantViolation::QuotaExceeded { count: 320, allowed: 196, from, .. }] = violations[..] else {
        panic!("{violations:?}");
    };
    assert_eq!(from, ms(4_000));
    let mut sent_before = run_in_window(320);
    for call in &mut sent_before.0.calls {
        call.sent_at -= ms(3_000);
    }
    assert_eq!(sent_before.violations(), [], "no window holds both the sending and the run of too many");
}

/// Guards against a zone that gets requests although it is evacuated.
#[test]
fn request_in_evacuated_zone_found() {
    let mut scenario = scenario();
    let written_at = ms(CHANGED_AT_MS);
    scenario.0.evacuations.push(Evacuation { zone: "a", written_at, deleted_at: ms(8_000) });
    scenario.run(KEPT, ms(5_900));
    scenario.run(KEPT, ms(6_100)).node = 1;
    scenario.run(KEPT, ms(8_100));
    assert_eq!(scenario.violations(), []);
    scenario.run(KEPT, ms(6_100));
    assert!(matches!(scenario.violations()[..], [TenantViolation::EvacuatedZoneReached(_)]));
    scenario.0.outages.push(Outage { node: Some(0), from: ms(5_000), until: ms(5_500) });
    assert_eq!(scenario.violations(), []);
}

/// Guards against a cold upstream that gets as many requests as a warm one.
#[test]
fn planted_ignored_cold_limit_found() {
    let mut scenario = scenario();
    for index in 0..27 {
        scenario.run(KEPT, ms(index * 30)).while_cold = true;
        scenario.run(KEPT, ms(index * 30));
    }
    assert_eq!(scenario.violations(), []);
    scenario.run(KEPT, ms(950)).while_cold = true;
    let violations = scenario.violations();
    assert!(
        matches!(
            violations[..],
            [TenantViolation::ColdLimitExceeded { node: 0, count: 28, allowed: 27, .. }]
        ),
        "{violations:?}"
    );
}
