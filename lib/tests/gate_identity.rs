//! A gate answers for itself only: for its own process, its own name, its own upstream's service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::Uri;
use tokio::time::Instant;
use yuccatray::coordination::priority_queue::PriorityRule;
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
use yuccatray_testutils::fleet::TestFleet;

const RULE: PriorityRule = PriorityRule {
    min_share_percent: 0,
    max_queue: 10,
    max_caller_queue_percent: 100,
    objective: Duration::from_secs(1),
    serve_late: false,
    usable_slots_percent: 100,
};

async fn asked(fleet: &TestFleet, gate: &str) -> (StatusCode, String) {
    let channel = CallChannels::new(Arc::default()).get(fleet.members[1].node.addrs().peer);
    let request = Request::builder()
        .uri(channel.absolute(&Uri::from_static("/")))
        .header(headers::CALL, "vm-9.1.1")
        .header(headers::RESOLVE, "attach")
        .header(headers::GATE, gate)
        .body(CallBody::from(Bytes::new()))
        .expect("a valid request");
    let response = channel.send(request).await.expect("the gate answers");
    let execution = response.headers()[headers::EXECUTION].to_str().expect("text").to_owned();
    (response.status(), execution)
}

#[tokio::test(flavor = "multi_thread")]
async fn call_never_seen_denied_only_by_the_process_that_it_was_sent_to() {
    let fleet = TestFleet::start(1).await;
    let me = fleet.members[1].node.member_id();
    let (_, execution) = asked(&fleet, &me.to_string()).await;
    assert_eq!(execution, Execution::NotExecuted.name());
    let former = MemberId { incarnation: me.incarnation - 1, ..me };
    let (status, execution) = asked(&fleet, &former.to_string()).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY, "its predecessor may have run the call");
    assert_eq!(execution, Execution::OutcomeUnknown.name());
}

#[test]
fn member_id_written_and_read() {
    let id = MemberId { name: Arc::from("vm-1.b"), incarnation: 0x1f };
    assert_eq!(id.to_string().parse::<MemberId>().expect("its own text is readable"), id);
    assert!("vm-1".parse::<MemberId>().is_err(), "no incarnation");
    assert!("vm-1.xyz".parse::<MemberId>().is_err(), "not hexadecimal");
}

#[tokio::test]
async fn call_of_another_service_refused_before_it_is_sent() {
    let gate = Arc::new(Gate::new(SharedMetrics::new(Metrics::default())));
    gate.set_priority_rules(&[RULE]);
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let rule = UpstreamRuleSpec::default();
    gate.set_upstream(nobody, &Arc::from("orders"), None, 1, &rule);
    let call = GateCall {
        id: CallId { node: Arc::from("vm-9"), incarnation: 1, sequence: 1 },
        service: Arc::from("catalogue"),
        priority: 0,
        priority_name: Arc::from("urgent"),
        repeated: false,
        caller: caller_key(""),
        deadline: Instant::now() + Duration::from_secs(1),
        start_by: None,
        objective_at: None,
        typical_time: None,
        idempotent: false,
        has_issued_key: false,
        max_gate_latency: None,
    };
    let refused = gate.call(call, Request::new(CallBody::from(Bytes::new()))).await;
    let answer = refused.expect_err("an upstream of another service has the address now");
    assert_eq!((answer.kind, answer.execution), (ErrorKind::NoUpstream, Execution::NotExecuted));
    assert!(answer.message.contains("serves orders"), "{}", answer.message);
}
