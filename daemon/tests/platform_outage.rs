//! Node processes during an outage of the platform and after the loss of the publisher lease holder.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformFaults;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::http_client::send_request;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SERVICE: &str = "orders";

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn service(timeout_ms: u64) -> Value {
    json!({
        "priority_set": "one", "upstream_rule": "workers", "default_priority": "normal",
        "default_timeout_ms": timeout_ms,
    })
}

/// Writes the service and the objects that it refers to.
async fn declare_service(api: &HttpPlatform) {
    let set = json!({ "priorities": { "normal": { "objective_ms": 100 } } });
    let objects = [
        (ObjectKind::PrioritySet, "one", set),
        (ObjectKind::UpstreamRule, "workers", json!({})),
        (ObjectKind::Service, SERVICE, service(1_000)),
    ];
    for (kind, name, value) in objects {
        api.put(kind, name, &value, Precondition::Absent).await.expect("the object is new");
    }
}

/// Returns the published status of the service, if there is one.
async fn service_status(api: &HttpPlatform) -> Option<ServiceStatus> {
    let object = api.get(ObjectKind::ServiceStatus, SERVICE).await.expect("the platform answers")?;
    serde_json::from_value(object.value).ok()
}

/// Waits until the latest version of the service is applied on `nodes` nodes.
async fn wait_applied(api: &HttpPlatform, nodes: u32) -> ServiceStatus {
    loop {
        let declared = api.get(ObjectKind::Service, SERVICE).await.expect("the platform answers");
        let version = declared.expect("the service exists").version;
        if let Some(status) = service_status(api).await
            && status.observed_version == version
            && status.applied
            && status.applied_nodes == nodes
        {
            return status;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the revision of the service that a node has applied.
async fn revision_at(node: &DaemonProcess) -> Option<u64> {
    let request = Request::get("/v1/node").body(Bytes::new()).expect("the request is valid");
    let response = send_request(node.admin, request).await;
    let report: Value = serde_json::from_slice(response.body()).expect("the report is JSON");
    report["revisions"][SERVICE].as_u64()
}

/// Returns the name of the node that holds the publisher lease.
async fn lease_holder(api: &HttpPlatform) -> String {
    let lease = api.get(ObjectKind::Lease, "publisher").await.expect("the platform answers");
    let lease = lease.expect("a node holds the lease");
    let holder = lease.value["holder"].as_str().expect("the lease names its holder");
    holder.split('.').next().unwrap_or_default().to_owned()
}

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_yuccatrayd"))
}

#[tokio::test(flavor = "multi_thread")]
async fn node_started_during_platform_outage_configured_by_peers() {
    let platform = PlatformStandin::start(any_port()).await.expect("the platform stand-in starts");
    let api = HttpPlatform::new(platform.addr, Duration::from_secs(2));
    declare_service(&api).await;
    let first = DaemonProcess::start(binary(), &loopback_settings("vm-1", "a", platform.addr, &[]));
    let applied = wait_applied(&api, 1).await;
    platform.standin.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    let second =
        DaemonProcess::start(binary(), &loopback_settings("vm-2", "b", platform.addr, &[first.peer]));

    while revision_at(&second).await != applied.revision {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    platform.standin.set_faults(PlatformFaults::default());
    let status = wait_applied(&api, 2).await;
    assert_eq!(status.revision, applied.revision, "an outage changes no revision");
    assert_eq!(status.unknown_nodes, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_holder_killed_another_node_publishes() {
    let platform = PlatformStandin::start(any_port()).await.expect("the platform stand-in starts");
    let api = HttpPlatform::new(platform.addr, Duration::from_secs(2));
    declare_service(&api).await;
    let mut nodes = Vec::new();
    let mut seeds = Vec::new();
    for (name, zone) in [("vm-1", "a"), ("vm-2", "b"), ("vm-3", "c")] {
        let node = DaemonProcess::start(binary(), &loopback_settings(name, zone, platform.addr, &seeds));
        seeds = vec![nodes.first().map_or(node.peer, |(_, first): &(&str, DaemonProcess)| first.peer)];
        nodes.push((name, node));
    }
    let before = wait_applied(&api, 3).await;
    let holder = lease_holder(&api).await;
    let position =
        nodes.iter().position(|(name, _)| *name == holder).expect("the lease holder is one of the nodes");
    let (_, mut killed) = nodes.remove(position);
    killed.signal(Signal::SIGKILL);
    killed.wait();

    let declared = api.get(ObjectKind::Service, SERVICE).await.expect("the platform answers");
    let version = declared.expect("the service exists").version;
    let write_result =
        api.put(ObjectKind::Service, SERVICE, &service(2_000), Precondition::Version(version)).await;
    write_result.expect("the version of the service is current");

    let after = wait_applied(&api, 2).await;
    assert!(after.epoch > before.epoch, "another node holds the lease");
    assert_eq!(after.known_nodes, 2);
    for (_, node) in &nodes {
        assert_eq!(revision_at(node).await, after.revision);
    }
}
