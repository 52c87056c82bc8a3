//! Bounds that a call passes on to the calls made on its behalf: priority, deadline and the repeated flag.

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

/// Number of calls in the tested chain, each made on behalf of the one before.
const CHAIN_LENGTH: usize = 13;

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
        cold_start: None,
    }
}

fn head(priority: &'static str, timeout_ms: u64, config: &PublishedConfig) -> CallHead {
    let mut request_headers = HeaderMap::new();
    request_headers.insert(headers::PRIORITY, HeaderValue::from_static(priority));
    request_headers.insert(headers::TIMEOUT_MS, HeaderValue::from(timeout_ms));
    CallHead::read(Arc::from("orders"), &request_headers, &Method::GET, config)
        .expect("the header fields are valid")
}

fn parent(name: &str, priority: u8, deadline: Instant) -> ParentCall {
    ParentCall { priority_name: Arc::from(name), priority, deadline, repeated: false }
}

#[test]
fn limit_to_parent_caps_priority_and_timeout() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("deposit", 10_000, &config);
    let parent = parent("proof", 1, now + Duration::from_millis(300));
    child.limit_to_parent(&parent, &config, now).expect("the parent's deadline has not passed");
    assert_eq!(child.priority, 1);
    assert_eq!(child.timeout, Duration::from_millis(300));
}

#[test]
fn limit_to_parent_keeps_lower_priority_and_shorter_timeout() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("browse", 50, &config);
    child
        .limit_to_parent(&parent("deposit", 0, now + Duration::from_secs(1)), &config, now)
        .expect("the parent's deadline has not passed");
    assert_eq!(child.priority, 2);
    assert_eq!(child.timeout, Duration::from_millis(50));
}

#[test]
fn limit_to_parent_of_another_priority_set_caps_rank() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("deposit", 50, &config);
    child
        .limit_to_parent(&parent("summary", 7, now + Duration::from_secs(1)), &config, now)
        .expect("the parent's deadline has not passed");
    assert_eq!(child.priority, 2, "the lowest priority of the service");
}

#[test]
fn limit_to_parent_expired_parent_fails() {
    let (config, now) = (config(), Instant::now());
    let mut child = head("deposit", 50, &config);
    let result = child.limit_to_parent(&parent("deposit", 0, now), &config, now);
    assert_eq!(result.map_err(|error| error.kind), Err(ErrorKind::DeadlineBeforeStart));
}

#[test]
fn limit_to_parent_holds_along_a_chain_of_calls() {
    let (config, start) = (config(), Instant::now());
    let mut parent_call =
        ParentCall { repeated: true, ..parent("proof", 1, start + Duration::from_millis(130)) };
    for depth in 1..CHAIN_LENGTH {
        let now =
            start + Duration::from_millis(10) * u32::try_from(depth).expect("the depth fits in 32 bits");
        let mut child = head("deposit", 60_000, &config);
        child.limit_to_parent(&parent_call, &config, now).expect("the parent's deadline has not passed");
        let deadline = now + child.timeout;
        assert!(
            deadline <= parent_call.deadline,
            "the call at depth {depth} has no later deadline than its parent"
        );
        assert!(
            child.priority >= parent_call.priority,
            "the call at depth {depth} has no higher priority than its parent"
        );
        assert!(child.repeated, "the call at depth {depth} inherits the repeated flag");
        parent_call = ParentCall { repeated: child.repeated, ..parent("proof", child.priority, deadline) };
    }
}
