//! Kills nodes with their upstreams under load, and measures the failed calls and the detection time.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use http::Method;
use indexmap::IndexMap;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::transport::admin_client::read_report;
use yuccatray::transport::admin_server::NodeReport;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_load::caller::CallPlan;
use yuccatray_load::caller::Caller;
use yuccatray_load::embedded_fleet::FleetError;
use yuccatray_load::embedded_fleet::ListenSnafu;
use yuccatray_load::embedded_fleet::NotReadySnafu;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::embedded_fleet::any_port;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::RunningUpstream;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;

const SERVICE: &str = "orders";
/// Calls that each upstream runs concurrently.
const SLOTS: u32 = 10;
/// Timeout of a request to the platform or to a node's admin address.
const API_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time until the platform reports the service as ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls of the platform or of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of the load before the kill.
const LOAD_BEFORE_KILL: Duration = Duration::from_secs(2);
/// State of a dead member in a node's report.
const DEAD_STATE: &str = "dead";

/// Kills nodes with their upstreams under load, and measures the failed calls and the detection time.
#[derive(Debug, Args)]
pub struct VmLossArgs {
    /// Binary of the node.
    #[arg(long, default_value = "target/release/yuccatrayd")]
    yuccatrayd: PathBuf,
    /// Number of nodes, each with an upstream of one service, spread over three availability zones.
    #[arg(long, default_value_t = 9)]
    nodes: u32,
    /// Number of nodes that are killed at once, all in the first zone.
    #[arg(long, default_value_t = 1)]
    killed: u32,
    /// Calls per second, round-robin over the surviving nodes.
    #[arg(long, default_value_t = 300)]
    calls_per_second: u32,
    /// Duration of the load after the kill, in milliseconds.
    #[arg(long, default_value_t = 12_000)]
    after_ms: u64,
    /// HTTP method of the calls: POST is executed at most once, GET may be retried.
    #[arg(long, default_value = "POST")]
    method: Method,
}

/// Node processes with their upstreams; the upstream of a killed VM is `None`.
#[derive(Debug)]
struct VmFleet {
    platform: RunningPlatform,
    nodes: Vec<DaemonProcess>,
    upstreams: Vec<Option<RunningUpstream>>,
}

/// One failed call.
#[derive(Clone, Debug)]
struct Failure {
    ended_at: Instant,
    error: String,
}

/// Runs `yuccatray-load vm-loss`.
pub async fn cmd_vm_loss(args: &VmLossArgs) -> Result<()> {
    let mut fleet = VmFleet::start(args).await?;
    let killed_indices: Vec<usize> = (0..args.nodes as usize).step_by(3).take(args.killed as usize).collect();
    let callers: Vec<Arc<Caller>> = (0..fleet.nodes.len())
        .filter(|index| !killed_indices.contains(index))
        .map(|index| Arc::new(Caller::new(fleet.nodes[index].ingress)))
        .collect();
    let failures = Arc::new(Mutex::new(Vec::new()));
    let load = tokio::spawn(send_calls(args.load_plan(), callers, Arc::clone(&failures)));
    tokio::time::sleep(LOAD_BEFORE_KILL).await;
    let killed_at = Instant::now();
    for index in &killed_indices {
        fleet.kill(*index);
    }
    let observer = (0..fleet.nodes.len()).rfind(|index| !killed_indices.contains(index)).unwrap_or(0);
    let detection_time = fleet.wait_dead(observer, killed_indices.len(), killed_at, args.after_ms).await;
    let calls = load.await.unwrap_or(0);
    print_report(args, calls, &failures.lock(), killed_at, detection_time);
    Ok(())
}

/// Load during the whole measurement.
#[derive(Clone, Debug)]
struct LoadPlan {
    interval: Duration,
    calls: u32,
    method: Method,
}

impl VmLossArgs {
    fn load_plan(&self) -> LoadPlan {
        let total = LOAD_BEFORE_KILL + Duration::from_millis(self.after_ms);
        let interval = Duration::from_secs(1) / self.calls_per_second.max(1);
        let calls = u32::try_from(total.as_micros() / interval.as_micros().max(1)).unwrap_or(u32::MAX);
        LoadPlan { interval, calls, method: self.method.clone() }
    }
}

/// Sends calls at a fixed interval and records failures; returns the number of calls.
async fn send_calls(plan: LoadPlan, callers: Vec<Arc<Caller>>, failures: Arc<Mutex<Vec<Failure>>>) -> u32 {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for sequence in 0..plan.calls {
        tokio::time::sleep_until(start + plan.interval * sequence).await;
        let caller = Arc::clone(&callers[sequence as usize % callers.len()]);
        calls.spawn(call_once(caller, plan.method.clone(), Arc::clone(&failures)));
        while calls.try_join_next().is_some() {}
    }
    calls.join_all().await;
    plan.calls
}

async fn call_once(caller: Arc<Caller>, method: Method, failures: Arc<Mutex<Vec<Failure>>>) {
    let plan = CallPlan {
        method,
        target: "/".to_owned(),
        service: SERVICE.to_owned(),
        priority: "normal".to_owned(),
        body: Bytes::new(),
    };
    let error = match caller.call(&plan).await {
        Ok(outcome) => outcome.error,
        Err(error) => Some(format!("no answer: {error}")),
    };
    if let Some(error) = error {
        failures.lock().push(Failure { ended_at: Instant::now(), error });
    }
}

impl VmFleet {
    async fn start(args: &VmLossArgs) -> Result<Self> {
        let platform = PlatformStandin::start(any_port()).await.context(ListenSnafu)?;
        let api = HttpPlatform::new(platform.addr, API_TIMEOUT);
        create_objects(&api).await?;
        let mut fleet = Self { platform, nodes: Vec::new(), upstreams: Vec::new() };
        for index in 0..args.nodes {
            fleet.add(&args.yuccatrayd, index).await?;
        }
        fleet.wait_ready(&api, args.nodes).await?;
        Ok(fleet)
    }

    /// Starts a node and its upstream.
    async fn add(&mut self, binary: &Path, index: u32) -> Result<()> {
        let seeds: Vec<SocketAddr> = self.nodes.iter().take(2).map(|node| node.peer).collect();
        let zone = format!("zone-{}", index % 3);
        let settings = loopback_settings(&format!("vm-{index}"), &zone, self.platform.addr, &seeds);
        let node = DaemonProcess::start(binary, &settings);
        let behaviour = UpstreamBehaviour { mean_service_us: 5_000, ..UpstreamBehaviour::default() };
        let upstream = UpstreamStandin::new(SLOTS, behaviour, u64::from(index));
        let upstream = upstream.start(any_port()).await.context(ListenSnafu)?;
        upstream.announce(node.announce, SERVICE, SLOTS);
        self.nodes.push(node);
        self.upstreams.push(Some(upstream));
        Ok(())
    }

    /// Waits until every node has applied the service and every upstream is ready.
    async fn wait_ready(&self, api: &HttpPlatform, nodes: u32) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let status = api.get(ObjectKind::ServiceStatus, SERVICE).await?;
            let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
            if status.is_some_and(|status| {
                status.applied && status.applied_nodes == nodes && status.ready_upstreams == nodes
            }) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        NotReadySnafu { service: SERVICE }.fail()
    }

    /// Simulates the loss of a VM: kills its node and stops its upstream at the same time.
    fn kill(&mut self, index: usize) {
        self.nodes[index].signal(Signal::SIGKILL);
        self.upstreams[index] = None;
    }

    /// Returns the time from the kill until the `observer` reports the killed nodes as dead or not at all.
    ///
    /// `None` if that takes longer than `timeout_ms`.
    async fn wait_dead(
        &self,
        observer: usize,
        killed: usize,
        killed_at: Instant,
        timeout_ms: u64,
    ) -> Option<Duration> {
        let deadline = killed_at + Duration::from_millis(timeout_ms);
        while Instant::now() < deadline {
            let report = read_report::<NodeReport>(self.nodes[observer].admin, "/v1/node", API_TIMEOUT).await;
            let live_members = report
                .map(|report| report.members.iter().filter(|member| &*member.state != DEAD_STATE).count());
            if live_members.is_ok_and(|live_members| live_members + killed <= self.nodes.len()) {
                return Some(killed_at.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

/// Creates the service and the objects to which it refers.
async fn create_objects(api: &HttpPlatform) -> Result<(), FleetError> {
    let objects = [
        (
            ObjectKind::PrioritySet,
            "one",
            serde_json::json!({ "priorities": { "normal": { "objective_ms": 200 } } }),
        ),
        (ObjectKind::UpstreamRule, "workers", serde_json::json!({ "ramp_ms": 0 })),
        (
            ObjectKind::Service,
            SERVICE,
            serde_json::json!({
                "priority_set": "one", "upstream_rule": "workers", "default_priority": "normal"
            }),
        ),
    ];
    for (kind, name, value) in objects {
        api.put(kind, name, &value, Precondition::Absent).await?;
    }
    Ok(())
}

/// Prints the detection time and the failed calls by error.
fn print_report(
    args: &VmLossArgs,
    calls: u32,
    failures: &[Failure],
    killed_at: Instant,
    detection_time: Option<Duration>,
) {
    println!(
        "{} of {} nodes killed under {} calls/s ({})",
        args.killed, args.nodes, args.calls_per_second, args.method
    );
    match detection_time {
        Some(after) => println!("declared dead after {:.2} s", after.as_secs_f64()),
        None => println!("not declared dead within {} ms", args.after_ms),
    }
    let mut by_error = IndexMap::<&str, u32>::new();
    for failure in failures {
        *by_error.entry(&failure.error).or_default() += 1;
    }
    println!("{} of {calls} calls failed: {by_error:?}", failures.len());
    let last_failure = failures.iter().map(|failure| failure.ended_at).max();
    if let Some(last_failure) = last_failure {
        println!(
            "the last failed call ended {:.2} s after the kill",
            (last_failure - killed_at).as_secs_f64()
        );
    }
}
