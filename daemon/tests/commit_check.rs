//! A team's check on every commit, as `docs/operators/test-suite.md` explains it.
//!
//! Two nodes as processes, the platform and the team's own servers as stand-ins; objects
//! are applied, waited for, and the promises that the team relies on are checked.

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
use yuccatray_testutils::http_call::exchange;
use yuccatray_testutils::workspace::root;

const POLL: Duration = Duration::from_millis(20);
const API_TIMEOUT: Duration = Duration::from_secs(10);
const NODES: u32 = 2;

/// Everything that the check starts; dropped, it stops it all.
#[derive(Debug)]
struct Stage {
    platform: RunningPlatform,
    api: HttpPlatform,
    nodes: Vec<DaemonProcess>,
    deposits: RunningUpstream,
}

impl Stage {
    async fn start() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform starts");
        let api = HttpPlatform::new(platform.addr, API_TIMEOUT);
        let binary = Path::new(env!("CARGO_BIN_EXE_yuccatrayd"));
        let first = DaemonProcess::start(binary, &loopback_settings("vm-1", "a", platform.addr, &[]));
        let settings = loopback_settings("vm-2", "b", platform.addr, &[first.peer]);
        let second = DaemonProcess::start(binary, &settings);
        let deposits = UpstreamStandin::new(10, UpstreamBehaviour::default(), 7);
        let deposits = deposits.start(any_port).await.expect("the server starts");
        deposits.announce(first.announce, "deposits", 10);
        Self { platform, api, nodes: vec![first, second], deposits }
    }

    async fn apply(&self, file: &str) {
        for manifest in load_manifests(&root().join(file)).expect("the objects are valid") {
            let kind = manifest.writable_kind().expect("operators write this kind");
            let written = self.api.put(kind, &manifest.name, &manifest.spec, Precondition::Absent).await;
            written.expect("the object is new");
        }
    }

    /// Waits until a revision above `after` is applied everywhere and an upstream takes work.
    async fn wait_applied(&self, service: &str, after: u64) -> u64 {
        loop {
            let status =
                self.api.get(ObjectKind::ServiceStatus, service).await.expect("the platform answers");
            let status = status.map(|status| serde_json::from_value::<ServiceStatus>(status.value));
            let status = status.transpose().expect("the status is readable");
            if let Some(status) = status {
                let whole = status.applied && status.applied_nodes == NODES && status.ready_upstreams > 0;
                if let Some(revision) = status.revision.filter(|revision| whole && *revision > after) {
                    return revision;
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Calls through the node that has no upstream beside it.
    async fn deposit(&self, priority: &str) -> Response<Bytes> {
        let request = Request::post("/deposits")
            .header(headers::SERVICE, "deposits")
            .header(headers::PRIORITY, priority)
            .body(Bytes::from_static(b"half of the price"));
        exchange(self.nodes[1].ingress, request.expect("the request is valid")).await
    }

    fn ran(&self) -> usize {
        self.deposits.standin.executions().len()
    }

    fn stop(mut self) {
        for node in self.nodes.iter_mut().rev() {
            node.signal(Signal::SIGTERM);
            assert!(node.wait().success(), "a node stops without cutting a call short");
        }
        drop(self.platform);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_check_deposits() {
    let started = Instant::now();
    let stage = Stage::start().await;
    println!("started after {:?}", started.elapsed());
    stage.apply("examples/objects/dakar.jsonc").await;
    let revision = stage.wait_applied("deposits", 0).await;
    println!("in force on every node after {:?}", started.elapsed());

    // A deposit runs once, and its answer names the call.
    let paid = stage.deposit("deposit").await;
    assert_eq!(paid.status(), StatusCode::OK);
    assert!(paid.headers().contains_key(headers::CALL));
    assert_eq!(stage.ran(), 1);

    // What is refused as not executed did not run.
    let refused = stage.deposit("no-such-priority").await;
    assert_eq!(refused.headers()[headers::EXECUTION], "not_executed");
    assert_eq!(stage.ran(), 1);

    // A server that fails is asked once for a deposit, and the caller sees its answer.
    let failing = UpstreamBehaviour { fail_fast: true, ..UpstreamBehaviour::default() };
    stage.deposits.standin.set_behaviour(failing);
    assert_eq!(stage.deposit("deposit").await.status(), StatusCode::INTERNAL_SERVER_ERROR);
    stage.deposits.standin.set_behaviour(UpstreamBehaviour::default());

    // A changed objective is in force on every node once the status says so.
    let set = stage.api.get(ObjectKind::PrioritySet, "ndiaye").await.expect("the platform answers");
    let set = set.expect("the set was applied");
    let mut changed = set.value.clone();
    changed["priorities"]["deposit"]["objective_ms"] = 120.into();
    let written = stage.api.put(set.kind, &set.name, &changed, Precondition::Version(set.version)).await;
    written.expect("nobody else changed the set");
    assert!(stage.wait_applied("deposits", revision).await > revision);
    println!("the change in force after {:?}", started.elapsed());

    // Two operators race: the second is told, and the first one's change stands.
    let outdated = stage.api.put(set.kind, &set.name, &set.value, Precondition::Version(set.version)).await;
    assert!(outdated.is_err(), "a write on an old version is refused");

    stage.stop();
    println!("torn down after {:?}", started.elapsed());
}
