//! End-to-end test with node processes, from the operator's objects to the upstream's response.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use yuccatray::protocol::headers;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::http_client::send_request;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn create_object(platform: &HttpPlatform, kind: ObjectKind, name: &str, value: &Value) {
    platform.put(kind, name, value, Precondition::Absent).await.expect("the object is new");
}

/// Writes a service with the priorities `urgent` and `bulk`.
async fn declare_service(platform: &HttpPlatform, name: &str) {
    let priorities =
        json!({ "priorities": { "urgent": { "objective_ms": 100 }, "bulk": { "objective_ms": 1000 } } });
    create_object(platform, ObjectKind::PrioritySet, "two", &priorities).await;
    create_object(platform, ObjectKind::UpstreamRule, "workers", &json!({})).await;
    let service = json!({ "priority_set": "two", "upstream_rule": "workers", "default_priority": "bulk" });
    create_object(platform, ObjectKind::Service, name, &service).await;
}

/// Waits until the service is applied on `nodes` nodes and has a ready upstream.
async fn wait_ready(platform: &HttpPlatform, service: &str, nodes: u32) {
    loop {
        let status = platform.get(ObjectKind::ServiceStatus, service).await.expect("the platform answers");
        let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
        if status.is_some_and(|status| {
            status.applied && status.applied_nodes == nodes && status.ready_upstreams > 0
        }) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn request(service: &str, priority: &str) -> Request<Bytes> {
    Request::post("/commissions/7")
        .header(headers::SERVICE, service)
        .header(headers::PRIORITY, priority)
        .body(Bytes::from_static(b"one quilt"))
        .expect("the request is valid")
}

#[tokio::test(flavor = "multi_thread")]
async fn end_to_end_two_nodes() {
    let platform = PlatformStandin::start(any_port()).await.expect("the platform stand-in starts");
    let api = HttpPlatform::new(platform.addr, Duration::from_secs(2));
    declare_service(&api, "orders").await;
    let binary = Path::new(env!("CARGO_BIN_EXE_yuccatrayd"));
    let mut first = DaemonProcess::start(binary, &loopback_settings("vm-1", "a", platform.addr, &[]));
    let mut second =
        DaemonProcess::start(binary, &loopback_settings("vm-2", "b", platform.addr, &[first.peer]));
    let upstream = UpstreamStandin::new(4, UpstreamBehaviour::default(), 1);
    let upstream = upstream.start(any_port()).await.expect("the upstream stand-in starts");
    upstream.announce(first.announce, "orders", 4);
    wait_ready(&api, "orders", 2).await;

    let response = send_request(second.ingress, request("orders", "urgent")).await;

    assert_eq!(response.status(), StatusCode::OK);
    let call =
        response.headers().get(headers::CALL).expect("every response carries the call identity").clone();
    let echo: Value = serde_json::from_slice(response.body()).expect("the upstream echoes as JSON");
    assert_eq!(echo["call"], call.to_str().expect("a call identity is text"));
    assert_eq!(echo["target"], "/commissions/7");
    assert_eq!(echo["body_bytes"], 9);
    assert_eq!(upstream.standin.executions().len(), 1);

    let rejected = send_request(second.ingress, request("orders", "nonsense")).await;
    assert_eq!(rejected.status(), StatusCode::BAD_REQUEST);
    assert_eq!(rejected.headers()[headers::ERROR], "unknown_priority");
    assert_eq!(rejected.headers()[headers::EXECUTION], "not_executed");
    assert_eq!(upstream.standin.executions().len(), 1);

    for node in [&mut second, &mut first] {
        node.signal(Signal::SIGTERM);
        assert!(node.wait().success(), "a graceful stop exits with code 0");
    }
}
