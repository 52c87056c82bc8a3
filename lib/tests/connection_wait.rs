//! Calls that wait for a new connection to their upstream after they got a slot.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use yuccatray::coordination::priority_queue::PriorityRule;
use yuccatray::protocol::answer::ErrorAnswer;
use yuccatray::protocol::call_head::CallOrigin;
use yuccatray::protocol::call_id::CallId;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::error_kind::Execution;
use yuccatray::protocol::service_spec::UpstreamRuleSpec;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::transport::call_body::CallBody;
use yuccatray::transport::gate::Gate;
use yuccatray::transport::gate::GateCall;
use yuccatray::transport::gate::caller_key;

const SERVICE: &str = "orders";
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the request in which a call may start.
const START_WITHIN: Duration = Duration::from_millis(200);
/// Time after its end in which a wait has to be over.
const MARGIN: Duration = Duration::from_millis(300);
/// Time in which a listener with room accepts a connection.
const ACCEPTED_WITHIN: Duration = Duration::from_millis(100);
const RULE: PriorityRule = PriorityRule {
    min_share_percent: 0,
    max_queue: 10,
    max_caller_queue_percent: 100,
    objective: Duration::from_secs(1),
    serve_late: false,
    usable_slots_percent: 100,
};

/// Returns a gate with an upstream at `addr`.
fn start_gate(addr: SocketAddr) -> Arc<Gate> {
    let gate = Arc::new(Gate::new(SharedMetrics::new(Metrics::default())));
    gate.set_priority_rules(&[RULE]);
    set_upstream(&gate, addr);
    gate
}

fn set_upstream(gate: &Gate, addr: SocketAddr) {
    gate.set_upstream(addr, &Arc::from(SERVICE), None, 1, &UpstreamRuleSpec::default());
}

/// Returns a call that may start until `start_by`.
fn call_to_start_by(start_by: Instant) -> GateCall {
    GateCall {
        id: CallId { node: Arc::from("vm-9"), incarnation: 1, sequence: 1 },
        service: Arc::from(SERVICE),
        priority: 0,
        priority_name: Arc::from("urgent"),
        repeated: false,
        caller: caller_key(""),
        caller_weight: None,
        deadline: start_by + TIMEOUT,
        start_by: Some(start_by),
        objective_at: None,
        typical_time: None,
        origin: CallOrigin::Caller,
        idempotent: true,
        has_issued_key: false,
        max_gate_latency: None,
    }
}

/// Makes a call and returns the error that it ends with.
async fn call_error(gate: &Arc<Gate>) -> ErrorAnswer {
    let call = call_to_start_by(Instant::now() + START_WITHIN);
    let result = gate.call(call, Request::new(CallBody::from(Bytes::new()))).await;
    result.map(drop).expect_err("the call can't be sent")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("a bound socket has an address");
    (listener, addr)
}

/// Changes the gate while a call waits for its connection, and checks that the call is not written.
async fn check_not_sent_after<F>(change: F)
where
    F: FnOnce(&Gate),
{
    let (listener, addr) = listen().await;
    let gate = start_gate(addr);
    let mut call = pin!(call_error(&gate));
    assert!(futures_util::poll!(call.as_mut()).is_pending(), "the connection is being opened");
    change(&gate);
    let error = call.await;
    assert_eq!((error.kind, error.execution), (ErrorKind::Draining, Execution::NotExecuted));
    let (mut stream, _) = listener.accept().await.expect("the gate has connected");
    let mut written = Vec::new();
    stream.read_to_end(&mut written).await.expect("the gate closes the connection");
    assert!(written.is_empty(), "bytes of the call were written: {written:?}");
}

#[tokio::test]
async fn call_not_sent_after_drain_while_its_connection_opens() {
    check_not_sent_after(Gate::drain).await;
}

#[tokio::test]
async fn call_not_sent_to_upstream_replaced_while_its_connection_opens() {
    let (_listener, other_addr) = listen().await;
    check_not_sent_after(|gate| set_upstream(gate, other_addr)).await;
}

/// Guards against calls that fail at an idle upstream, since they got their slot after their latest start.
#[tokio::test]
async fn call_granted_after_its_latest_start_sent_over_new_connection() {
    let (listener, addr) = listen().await;
    let gate = start_gate(addr);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the gate connects");
        let mut buffer = [0; 1_024];
        let _read_bytes = stream.read(&mut buffer).await.expect("the gate sends the call");
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.expect("the gate reads the answer");
    });
    let earlier = Instant::now();
    tokio::time::sleep(START_WITHIN).await;
    let call = call_to_start_by(earlier);
    let response = gate.call(call, Request::new(CallBody::from(Bytes::new()))).await;
    assert_eq!(response.expect("the call is sent").status(), StatusCode::NO_CONTENT);
}

#[tokio::test]
async fn wait_for_connection_ends_when_the_call_may_start_no_more() {
    let socket = TcpSocket::new_v4().expect("a socket can be opened");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let full_listener = socket.listen(1).expect("the socket can listen");
    let addr = full_listener.local_addr().expect("a bound socket has an address");
    let mut accepted = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(ACCEPTED_WITHIN, TcpStream::connect(addr)).await {
        accepted.push(stream);
    }
    let gate = start_gate(addr);
    let started_at = Instant::now();
    let error = call_error(&gate).await;
    let waited = started_at.elapsed();
    assert_eq!(error.execution, Execution::NotExecuted);
    assert!(waited < START_WITHIN + MARGIN, "the call waited for {waited:?}");
}
