//! What a call hands down to the calls made on its behalf.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use serde_json::json;
use tokio::time::Instant;
use yuccatray::protocol::call_head::CallHead;
use yuccatray::protocol::call_head::ParentCall;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::headers;
use yuccatray::protocol::published::PublishedConfig;
use yuccatray::protocol::published::PublishedSources;
use yuccatray::protocol::service_spec::PrioritySetSpec;
use yuccatray::protocol::service_spec::ServiceSpec;
use yuccatray::protocol::service_spec::UpstreamRuleSpec;

const DEPTH: usize = 13;

fn config() -> PublishedConfig {
    let service: ServiceSpec = serde_json::from_value(json!({
        "priority_set": "all", "upstream_rule": "workers", "default_priority": "deposit"
    }))
    .expect("the service is valid");
    let priorities: PrioritySetSpec = serde_json::from_value(json!({
        "priorities": {
            "deposit": { "objective_ms": 100 },
            "proof": { "objective_ms": 1000 },
            "browse": { "objective_ms": 500 }
        }
    }))
    .expect("the priorities are valid");
    PublishedConfig {
        sources: PublishedSources {
            service_uid: Arc::from("1"),
            service_version: 1,
            priority_set_version: 1,
            upstream_rule_version: 1,
        },
        service,
        priorities,
        upstream_rule: UpstreamRuleSpec::default(),
    }
}

fn head(priority: &'static str, timeout_ms: u64, config: &PublishedConfig) -> CallHead {
    let mut fields = HeaderMap::new();
    fields.insert(headers::PRIORITY, HeaderValue::from_static(priority));
    fields.insert(headers::TIMEOUT_MS, HeaderValue::from(timeout_ms));
    CallHead::read(Arc::from("orders"), &fields, &Method::GET, config).expect("the fields are valid")
}

fn parent(name: &str, priority: u8, deadline: Instant) -> ParentCall {
    ParentCall { priority_name: Arc::from(name), priority, deadline, repeated: false }
}

#[test]
fn child_no_more_urgent_nor_later() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("deposit", 10_000, &config);
    let parent = parent("proof", 1, now + Duration::from_millis(300));
    child.bound_by(&parent, &config, now).expect("there is time");
    assert_eq!(child.priority, 1);
    assert_eq!(child.timeout, Duration::from_millis(300));
}

#[test]
fn child_less_urgent_and_shorter_stays() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("browse", 50, &config);
    child.bound_by(&parent("deposit", 0, now + Duration::from_secs(1)), &config, now).expect("there is time");
    assert_eq!(child.priority, 2);
    assert_eq!(child.timeout, Duration::from_millis(50));
}

#[test]
fn child_of_other_set_by_position() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("deposit", 50, &config);
    child.bound_by(&parent("summary", 7, now + Duration::from_secs(1)), &config, now).expect("there is time");
    assert_eq!(child.priority, 2, "the least urgent that the service has");
}

#[test]
fn child_of_call_without_time_refused() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("deposit", 50, &config);
    let refused = child.bound_by(&parent("deposit", 0, now), &config, now);
    assert_eq!(refused.map_err(|answer| answer.kind), Err(ErrorKind::DeadlineBeforeStart));
}

#[test]
fn chain_of_thirteen_keeps_bounds() {
    let (config, start) = (config(), Instant::now());
    let mut above = ParentCall { repeated: true, ..parent("proof", 1, start + Duration::from_millis(130)) };
    for depth in 1..DEPTH {
        let now = start + Duration::from_millis(10) * u32::try_from(depth).expect("small");
        let mut child = head("deposit", 60_000, &config);
        child.bound_by(&above, &config, now).expect("there is time");
        let deadline = now + child.timeout;
        assert!(deadline <= above.deadline, "depth {depth} ends no later than its parent");
        assert!(child.priority >= above.priority, "depth {depth} is no more urgent");
        assert!(child.repeated, "depth {depth} runs on behalf of a repeat");
        above = ParentCall { repeated: child.repeated, ..parent("proof", child.priority, deadline) };
    }
}
