//! Which statuses end a request, and what becomes of calls that other nodes answer with any other status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::Uri;
use tokio::time::Instant;
use yuccatray::protocol::answer::ErrorAnswer;
use yuccatray::protocol::call_id::CallId;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::error_kind::Execution;
use yuccatray::protocol::final_status::is_final_status;
use yuccatray::protocol::headers;
use yuccatray::protocol::member::MemberId;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::call_body::CallBody;
use yuccatray::transport::call_resolution::PeerCall;
use yuccatray::transport::call_resolution::send_via_peer_gate;
use yuccatray::transport::peer_channel::CallChannels;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::store_client::StoreClient;
use yuccatray_testutils::raw_http::RawUpstream;
use yuccatray_testutils::raw_http::raw_exchange;
use yuccatray_testutils::raw_peer::RawPeer;
use yuccatray_testutils::two_nodes::TwoNodes;

/// Statuses that are not final; some of them are not valid HTTP.
const PEER_STATUSES: [&str; 10] = ["000", "0", "020", "099", "101", "199", "600", "700", "999", "OK"];
/// Field on every answer of an upstream that a gate passes on.
const GATE_LOAD: (&str, &str) = ("yuccatray-load", "0,0");
/// Time to the deadline of a call; calls without an answer end then.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn is_final_status_from_200_to_599_only() {
    let is_final = |code| is_final_status(StatusCode::from_u16(code).expect("the code has three digits"));
    let not_final: Vec<u16> = (100..=999).filter(|code| !is_final(*code)).collect();
    let expected: Vec<u16> = (100..200).chain(600..=999).collect();
    assert_eq!(not_final, expected);
}

/// Sends a call to the gate at `addr`; returns its status, or its error answer and the metrics.
async fn call_peer(addr: SocketAddr, idempotent: bool) -> (Result<StatusCode, ErrorAnswer>, String) {
    let metrics = SharedMetrics::new(Metrics::default());
    let call = PeerCall {
        id: &CallId { node: Arc::from("vm-9"), incarnation: 1, sequence: 1 },
        gate: &MemberId { name: Arc::from("vm-1"), incarnation: 1 },
        addr,
        deadline: Instant::now() + CALL_TIMEOUT,
        idempotent,
        continues_without_caller: false,
        metrics: &metrics,
    };
    let request = Request::get("/a").body(CallBody::from(Bytes::new())).expect("the request is valid");
    let result = send_via_peer_gate(&CallChannels::default(), call, request).await;
    (result.map(|response| response.status()), metrics.encode())
}

// Guards against a peer's status that reaches the caller, and against a proof beside it that the call did not run.
#[tokio::test(flavor = "multi_thread")]
async fn call_answered_by_peer_without_final_status_has_unknown_outcome() {
    let proof = [("yuccatray-error", "draining"), ("yuccatray-execution", "not_executed")];
    for status in PEER_STATUSES {
        for (fields, idempotent) in [(&[][..], true), (&[][..], false), (&proof[..], false)] {
            let peer = RawPeer::start(status, fields).await;
            let (result, metrics) = call_peer(peer.addr, idempotent).await;
            let answer = result.expect_err(status);
            assert_eq!(answer.execution, Execution::OutcomeUnknown, "{status}: {answer:?}");
            assert!(peer.requests() > 0, "{status}: the call reached the peer");
            let is_readable = status.starts_with(['6', '7', '9']);
            let counted = metrics.contains("yuccatray_no_final_responses_total{reason=\"peer\"} 1");
            assert_eq!(counted, is_readable, "{status}: {metrics}");
            assert!(!is_readable || answer.kind == ErrorKind::OutcomeUnknown, "{status}: {answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_answered_by_gate_with_final_status_is_answered() {
    for status in ["200", "404", "599"] {
        let peer = RawPeer::start(status, &[GATE_LOAD]).await;
        let (result, _) = call_peer(peer.addr, false).await;
        assert_eq!(result.expect(status).as_str(), status);
    }
}

// Guards against an answer of a node's control service or HTTP library that counts as that of an upstream.
#[tokio::test(flavor = "multi_thread")]
async fn call_answered_by_peer_without_its_gate_has_unknown_outcome() {
    for status in ["200", "404", "431", "599"] {
        for idempotent in [true, false] {
            let peer = RawPeer::start(status, &[("content-type", "application/grpc")]).await;
            let (result, _) = call_peer(peer.addr, idempotent).await;
            let answer = result.expect_err(status);
            assert_eq!(answer.execution, Execution::OutcomeUnknown, "{status}: {answer:?}");
        }
    }
}

// Guards against an error of a node of a newer version that counts as the answer of an upstream.
#[tokio::test(flavor = "multi_thread")]
async fn call_answered_by_gate_with_unknown_error_kind_has_stated_outcome() {
    let cases = [
        (Some("not_executed"), Execution::NotExecuted),
        (Some("outcome_unknown"), Execution::OutcomeUnknown),
        (None, Execution::OutcomeUnknown),
    ];
    for (stated, expected) in cases {
        let execution = stated.map(|stated| ("yuccatray-execution", stated));
        let fields: Vec<_> =
            [("yuccatray-error", "of_a_later_version")].into_iter().chain(execution).collect();
        let peer = RawPeer::start("503", &fields).await;
        let (result, _) = call_peer(peer.addr, false).await;
        let answer = result.expect_err("the gate sent an error");
        assert_eq!(answer.execution, expected, "{answer:?}");
    }
}

/// Asks the gate what became of a call, and returns what it says of its execution.
async fn resolve(nodes: &TwoNodes, call: &str) -> String {
    let channel = CallChannels::default().get(nodes.gate_node.addrs().peer);
    let request = Request::builder()
        .uri(channel.absolute(&Uri::from_static("/")))
        .header(headers::CALL, call)
        .header(headers::RESOLVE, "attach")
        .header(headers::GATE, nodes.gate_node.member_id().to_string())
        .body(CallBody::from(Bytes::new()));
    let response = channel.send(request.expect("the request is valid")).await.expect("the gate answers");
    response.headers()[headers::EXECUTION].to_str().expect("the field is text").to_owned()
}

// Guards the dialect of the project, whose upstreams send neither the identity of the request nor a signature.
#[tokio::test(flavor = "multi_thread")]
async fn own_upstream_without_final_status_gives_unknown_outcome() {
    for status in ["101 Switching Protocols", "000 Unknown", "700 OK"] {
        let upstream = RawUpstream::start(&format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n")).await;
        let nodes = TwoNodes::start(upstream.addr, 1_048_576).await;
        for ingress in [nodes.ingress(), nodes.gate_node.addrs().ingress] {
            let before = upstream.requests().len();
            let request = "POST /a HTTP/1.1\r\nhost: vm\r\nyuccatray-service: orders\r\nconnection: close\r\n\
                content-length: 0\r\n\r\n";
            let answer = raw_exchange(ingress, request.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 502 "), "{status}: {answer}");
            assert!(answer.contains("yuccatray-execution: outcome_unknown\r\n"), "{status}: {answer}");
            assert_eq!(upstream.requests().len(), before + 1, "{status}: the call is sent once");
            let call = answer.lines().find_map(|line| line.strip_prefix("yuccatray-call: "));
            let execution = resolve(&nodes, call.expect("the answer names its call")).await;
            assert_eq!(execution, Execution::OutcomeUnknown.name(), "{status}: the record of the call");
        }
    }
}

// Guards against a write that is taken for rejected, although the store may have made it.
#[tokio::test(flavor = "multi_thread")]
async fn store_response_without_final_status_is_no_response() {
    for status in ["101 Switching Protocols", "700 OK"] {
        let store = RawUpstream::start(&format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n")).await;
        let client = StoreClient::new(store.addr);
        let request = client.request(http::Method::PUT, "/a");
        let sent = client.send(request, Bytes::new(), STORE_TIMEOUT).await;
        assert!(matches!(sent, Err(PlatformError::NoResponse { .. })), "{status}: {sent:?}");
    }
}
