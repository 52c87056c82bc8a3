//! Checks that a gate answers only for its own incarnation and its own upstream's service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::Uri;
use tokio::time::Instant;
use yuccatray::coordination::priority_queue::PriorityRule;
use yuccatray::protocol::call_head::CallOrigin;
use yuccatray::protocol::call_id::CallId;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::error_kind::Execution;
use yuccatray::protocol::headers;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::service_spec::UpstreamRuleSpec;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::call_body::CallBody;
use yuccatray::transport::gate::Gate;
use yuccatray::transport::gate::GateCall;
use yuccatray::transport::gate::caller_key;
use yuccatray::transport::peer_channel::CallChannels;
use yuccatray_testutils::fleet::SERVICE;
use yuccatray_testutils::fleet::TestFleet;

const RULE: PriorityRule = PriorityRule {
    min_share_percent: 0,
    max_queue: 10,
    max_caller_queue_percent: 100,
    objective: Duration::from_secs(1),
    serve_late: false,
    usable_slots_percent: 100,
};

/// Resolves an unknown call at the gate addressed by the member id `gate`.
///
/// Returns the status and the execution header field of the answer.
async fn resolve_at_gate(fleet: &TestFleet, gate: &str) -> (StatusCode, String) {
    let channel = CallChannels::new(Arc::default()).get(fleet.members[1].node.addrs().peer);
    let request = Request::builder()
        .uri(channel.absolute(&Uri::from_static("/")))
        .header(headers::CALL, "vm-9.1.1")
        .header(headers::RESOLVE, "attach")
        .header(headers::GATE, gate)
        .body(CallBody::from(Bytes::new()))
        .expect("a valid request");
    let response = channel.send(request).await.expect("the gate answers");
    let execution =
        response.headers()[headers::EXECUTION].to_str().expect("the header field is text").to_owned();
    (response.status(), execution)
}

#[tokio::test(flavor = "multi_thread")]
async fn resolve_unknown_call_not_executed_only_for_own_incarnation() {
    let fleet = TestFleet::start(1).await;
    let own_id = fleet.members[1].node.member_id();
    let (_, execution) = resolve_at_gate(&fleet, &own_id.to_string()).await;
    assert_eq!(execution, Execution::NotExecuted.name());
    let predecessor = MemberId { incarnation: own_id.incarnation - 1, ..own_id };
    let (status, execution) = resolve_at_gate(&fleet, &predecessor.to_string()).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY, "the previous incarnation may have executed the call");
    assert_eq!(execution, Execution::OutcomeUnknown.name());
}

/// Sends a call that may run once to the gate, with an idempotency key, and returns the error kind of the answer.
async fn call_at_gate(fleet: &TestFleet, call: &str, key: &str) -> Option<String> {
    let gate = &fleet.members[1].node;
    let channel = CallChannels::new(Arc::default()).get(gate.addrs().peer);
    let request = Request::builder()
        .method("POST")
        .uri(channel.absolute(&Uri::from_static("/")))
        .header(headers::CALL, call)
        .header(headers::GATE, gate.member_id().to_string())
        .header(headers::SERVICE, SERVICE)
        .header(headers::TIMEOUT_MS, "2000")
        .header(headers::IDEMPOTENT, "false")
        .header(headers::IDEMPOTENCY_KEY, key)
        .body(CallBody::from(Bytes::new()))
        .expect("a valid request");
    let response = channel.send(request).await.expect("the gate answers");
    let kind = response.headers().get(headers::ERROR);
    kind.map(|kind| kind.to_str().expect("the header field is text").to_owned())
}

// Guards against a caller's key that makes a gate treat any call as one that its caller may send again.
#[tokio::test(flavor = "multi_thread")]
async fn call_shares_its_answer_only_with_the_issued_key_of_its_identity() {
    let fleet = TestFleet::start(1).await;
    let gate = fleet.members[1].node.member_id();
    let key = |call: &str| format!("yuccatray-1.{}.{:x}.{call}", gate.name, gate.incarnation);
    let cases = [
        ("vm-9.1.1", key("vm-9.1.1"), None),
        ("vm-9.1.2", key("vm-9.1.77"), Some("duplicate_call")),
        ("vm-9.1.3", "yuccatray-1.vm-1".to_owned(), Some("duplicate_call")),
        ("vm-9.1.4", format!("yuccatray-1.vm-7.1.{}", "vm-9.1.4"), Some("duplicate_call")),
    ];
    for (call, key, expected) in cases {
        assert_eq!(call_at_gate(&fleet, call, &key).await, None, "{key}");
        assert_eq!(call_at_gate(&fleet, call, &key).await.as_deref(), expected, "{key}");
    }
}

#[test]
fn member_id_display_parses_back() {
    let id = MemberId { name: Arc::from("vm-1.b"), incarnation: 0x1f };
    assert_eq!(id.to_string().parse::<MemberId>().expect("a displayed member id can be parsed"), id);
    assert!("vm-1".parse::<MemberId>().is_err(), "the incarnation is missing");
    assert!("vm-1.xyz".parse::<MemberId>().is_err(), "the incarnation is not hexadecimal");
}

#[tokio::test]
async fn call_for_another_service_rejected_before_sending() {
    let gate = Arc::new(Gate::new(SharedMetrics::new(Metrics::default())));
    gate.set_priority_rules(&[RULE]);
    let upstream_addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let rule = UpstreamRuleSpec::default();
    gate.set_upstream(upstream_addr, &Arc::from("orders"), None, 1, &rule);
    let call = GateCall {
        id: CallId { node: Arc::from("vm-9"), incarnation: 1, sequence: 1 },
        service: Arc::from("catalogue"),
        priority: 0,
        priority_name: Arc::from("urgent"),
        repeated: false,
        caller: caller_key(""),
        caller_weight: None,
        deadline: Instant::now() + Duration::from_secs(1),
        start_by: None,
        objective_at: None,
        typical_time: None,
        origin: CallOrigin::Caller,
        idempotent: false,
        has_issued_key: false,
        max_gate_latency: None,
    };
    let result = gate.call(call, Request::new(CallBody::from(Bytes::new()))).await;
    let error = result.expect_err("the address belongs to an upstream of another service");
    assert_eq!((error.kind, error.execution), (ErrorKind::NoUpstream, Execution::NotExecuted));
    assert!(error.message.contains("serves orders"), "{}", error.message);
}
