//! An example of the check that an application team runs on every commit.
//!
//! The test starts two nodes as processes with stand-ins for the platform and for the team's server,
//! applies the objects, waits until they are in effect and checks the guarantees that the team relies on.
//! `docs/operators/test-suite.md` explains it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use nix::sys::signal::Signal;
use yuccatray::coordination::manifest::load_manifests;
use yuccatray::protocol::headers;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::RunningUpstream;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::http_client::send_request;
use yuccatray_testutils::workspace::workspace_root;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const API_TIMEOUT: Duration = Duration::from_secs(10);
const NODE_COUNT: u32 = 2;

/// The nodes and stand-ins that the check starts; dropping it stops them.
#[derive(Debug)]
struct TestFleet {
    platform: RunningPlatform,
    api: HttpPlatform,
    nodes: Vec<DaemonProcess>,
    deposits: RunningUpstream,
}

impl TestFleet {
    async fn start() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform stand-in starts");
        let api = HttpPlatform::new(platform.addr, API_TIMEOUT);
        let binary = Path::new(env!("CARGO_BIN_EXE_yuccatrayd"));
        let first = DaemonProcess::start(binary, &loopback_settings("vm-1", "a", platform.addr, &[]));
        let settings = loopback_settings("vm-2", "b", platform.addr, &[first.peer]);
        let second = DaemonProcess::start(binary, &settings);
        let deposits = UpstreamStandin::new(10, UpstreamBehaviour::default(), 7);
        let deposits = deposits.start(any_port).await.expect("the upstream stand-in starts");
        deposits.announce(first.announce, "deposits", 10);
        Self { platform, api, nodes: vec![first, second], deposits }
    }

    /// Writes the objects of a file, each of which must be new.
    async fn apply(&self, file: &str) {
        for manifest in load_manifests(&workspace_root().join(file)).expect("the example objects are valid") {
            let kind = manifest.writable_kind().expect("the manifest holds an object that operators write");
            let write_result = self.api.put(kind, &manifest.name, &manifest.spec, Precondition::Absent).await;
            write_result.expect("the object is new");
        }
    }

    /// Waits for a revision above `after` that every node applied while an upstream is ready, and returns it.
    async fn wait_applied(&self, service: &str, after: u64) -> u64 {
        loop {
            let status =
                self.api.get(ObjectKind::ServiceStatus, service).await.expect("the platform answers");
            let status = status.map(|status| serde_json::from_value::<ServiceStatus>(status.value));
            let status = status.transpose().expect("the status has the published format");
            if let Some(status) = status {
                let is_ready =
                    status.applied && status.applied_nodes == NODE_COUNT && status.ready_upstreams > 0;
                if let Some(revision) = status.revision.filter(|revision| is_ready && *revision > after) {
                    return revision;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a deposit to the node that has no upstream beside it.
    async fn call_deposits(&self, priority: &str) -> Response<Bytes> {
        let request = Request::post("/deposits")
            .header(headers::SERVICE, "deposits")
            .header(headers::PRIORITY, priority)
            .body(Bytes::from_static(b"half of the price"));
        send_request(self.nodes[1].ingress, request.expect("the request is valid")).await
    }

    /// Returns how often the upstream has executed a deposit.
    fn execution_count(&self) -> usize {
        self.deposits.standin.executions().len()
    }

    /// Stops the nodes gracefully, then the platform.
    fn stop(mut self) {
        for node in self.nodes.iter_mut().rev() {
            node.signal(Signal::SIGTERM);
            assert!(node.wait().success(), "a node stops without aborting a call");
        }
        drop(self.platform);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_check_deposits() {
    let started = Instant::now();
    let fleet = TestFleet::start().await;
    println!("started after {:?}", started.elapsed());
    fleet.apply("examples/objects/dakar.jsonc").await;
    let revision = fleet.wait_applied("deposits", 0).await;
    println!("in effect on every node after {:?}", started.elapsed());

    // A deposit is executed once, and its response carries the call identity.
    let accepted = fleet.call_deposits("deposit").await;
    assert_eq!(accepted.status(), StatusCode::OK);
    assert!(accepted.headers().contains_key(headers::CALL));
    assert_eq!(fleet.execution_count(), 1);

    // A call rejected with `not_executed` never reaches the upstream.
    let rejected = fleet.call_deposits("no-such-priority").await;
    assert_eq!(rejected.headers()[headers::EXECUTION], "not_executed");
    assert_eq!(fleet.execution_count(), 1);

    // A deposit that fails at the upstream is not retried, and the caller gets the upstream's response.
    let failing = UpstreamBehaviour { fail_fast: true, ..UpstreamBehaviour::default() };
    fleet.deposits.standin.set_behaviour(failing);
    assert_eq!(fleet.call_deposits("deposit").await.status(), StatusCode::INTERNAL_SERVER_ERROR);
    fleet.deposits.standin.set_behaviour(UpstreamBehaviour::default());

    // A changed objective is in effect on every node once the status reports it as applied.
    let set = fleet.api.get(ObjectKind::PrioritySet, "ndiaye").await.expect("the platform answers");
    let set = set.expect("the set exists");
    let mut changed = set.value.clone();
    changed["priorities"]["deposit"]["objective_ms"] = 120.into();
    let write_result = fleet.api.put(set.kind, &set.name, &changed, Precondition::Version(set.version)).await;
    write_result.expect("the version of the set is current");
    assert!(fleet.wait_applied("deposits", revision).await > revision);
    println!("change in effect after {:?}", started.elapsed());

    // Of two concurrent writes of operators, the second fails with a conflict and the first one stays.
    let outdated_write =
        fleet.api.put(set.kind, &set.name, &set.value, Precondition::Version(set.version)).await;
    assert!(outdated_write.is_err(), "a write with an outdated version is rejected");

    fleet.stop();
    println!("stopped after {:?}", started.elapsed());
}
