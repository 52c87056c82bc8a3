//! Kills nodes with their upstreams under load, and measures what callers notice and for how long.

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
use yuccatray_load::embedded_fleet::NotReadySnafu;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::embedded_fleet::StandinSnafu;
use yuccatray_load::embedded_fleet::any_port;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::RunningUpstream;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;
use yuccatray_testutils::daemon_process::DaemonProcess;
use yuccatray_testutils::daemon_process::loopback_settings;

const SERVICE: &str = "orders";
const SLOTS: u32 = 10;
const API_TIMEOUT: Duration = Duration::from_secs(5);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
const BEFORE_KILL: Duration = Duration::from_secs(2);
const DEAD: &str = "dead";

/// Kills nodes with their upstreams under load and measures what callers notice.
#[derive(Debug, Args)]
pub struct VmLossArgs {
    /// The node's binary.
    #[arg(long, default_value = "target/release/yuccatrayd")]
    yuccatrayd: PathBuf,
    /// Nodes, each with an upstream of one service, spread over three availability zones.
    #[arg(long, default_value_t = 9)]
    nodes: u32,
    /// Nodes that are killed at once; more than one are all of one zone.
    #[arg(long, default_value_t = 1)]
    killed: u32,
    /// Calls per second, over the nodes that live on.
    #[arg(long, default_value_t = 300)]
    calls_per_second: u32,
    /// Length of the load after the kill, in milliseconds.
    #[arg(long, default_value_t = 12_000)]
    after_ms: u64,
    /// Method of the calls: POST may run only once, GET more often.
    #[arg(long, default_value = "POST")]
    method: Method,
}

#[derive(Debug)]
struct LostFleet {
    platform: RunningPlatform,
    nodes: Vec<DaemonProcess>,
    upstreams: Vec<Option<RunningUpstream>>,
}

/// One call that no upstream answered.
#[derive(Clone, Debug)]
struct Failure {
    ended_at: Instant,
    error: String,
}

/// Runs `yuccatray-load vm-loss`.
pub async fn cmd_vm_loss(args: &VmLossArgs) -> Result<()> {
    let mut fleet = LostFleet::start(args).await?;
    let lost: Vec<usize> = (0..args.nodes as usize).step_by(3).take(args.killed as usize).collect();
    let callers: Vec<Arc<Caller>> = (0..fleet.nodes.len())
        .filter(|index| !lost.contains(index))
        .map(|index| Arc::new(Caller::new(fleet.nodes[index].ingress)))
        .collect();
    let failures = Arc::new(Mutex::new(Vec::new()));
    let load = tokio::spawn(call_all(args.clone_plan(), callers, Arc::clone(&failures)));
    tokio::time::sleep(BEFORE_KILL).await;
    let killed_at = Instant::now();
    for index in &lost {
        fleet.kill(*index);
    }
    let witness = (0..fleet.nodes.len()).rfind(|index| !lost.contains(index)).unwrap_or(0);
    let dead_after = fleet.until_dead(witness, lost.len(), killed_at, args.after_ms).await;
    let calls = load.await.unwrap_or(0);
    report(args, calls, &failures.lock(), killed_at, dead_after);
    Ok(())
}

/// Load of one run.
#[derive(Clone, Debug)]
struct LoadPlan {
    gap: Duration,
    calls: u32,
    method: Method,
}

impl VmLossArgs {
    fn clone_plan(&self) -> LoadPlan {
        let total = BEFORE_KILL + Duration::from_millis(self.after_ms);
        let gap = Duration::from_secs(1) / self.calls_per_second.max(1);
        let calls = u32::try_from(total.as_micros() / gap.as_micros().max(1)).unwrap_or(u32::MAX);
        LoadPlan { gap, calls, method: self.method.clone() }
    }
}

async fn call_all(plan: LoadPlan, callers: Vec<Arc<Caller>>, failures: Arc<Mutex<Vec<Failure>>>) -> u32 {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for sequence in 0..plan.calls {
        tokio::time::sleep_until(start + plan.gap * sequence).await;
        let caller = Arc::clone(&callers[sequence as usize % callers.len()]);
        running.spawn(call_once(caller, plan.method.clone(), Arc::clone(&failures)));
        while running.try_join_next().is_some() {}
    }
    running.join_all().await;
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

impl LostFleet {
    async fn start(args: &VmLossArgs) -> Result<Self> {
        let platform = PlatformStandin::start(any_port()).await.context(StandinSnafu)?;
        let api = HttpPlatform::new(platform.addr, API_TIMEOUT);
        declare(&api).await?;
        let mut fleet = Self { platform, nodes: Vec::new(), upstreams: Vec::new() };
        for index in 0..args.nodes {
            fleet.add(&args.yuccatrayd, index).await?;
        }
        fleet.wait_ready(&api, args.nodes).await?;
        Ok(fleet)
    }

    async fn add(&mut self, binary: &Path, index: u32) -> Result<()> {
        let seeds: Vec<SocketAddr> = self.nodes.iter().take(2).map(|node| node.peer).collect();
        let zone = format!("zone-{}", index % 3);
        let settings = loopback_settings(&format!("vm-{index}"), &zone, self.platform.addr, &seeds);
        let node = DaemonProcess::start(binary, &settings);
        let behaviour = UpstreamBehaviour { mean_service_us: 5_000, ..UpstreamBehaviour::default() };
        let upstream = UpstreamStandin::new(SLOTS, behaviour, u64::from(index));
        let upstream = upstream.start(any_port()).await.context(StandinSnafu)?;
        upstream.announce(node.announce, SERVICE, SLOTS);
        self.nodes.push(node);
        self.upstreams.push(Some(upstream));
        Ok(())
    }

    async fn wait_ready(&self, api: &HttpPlatform, nodes: u32) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let status = api.get(ObjectKind::ServiceStatus, SERVICE).await?;
            let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
            if status.is_some_and(|status| {
                status.applied && status.applied_nodes == nodes && status.ready_upstreams == nodes
            }) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        NotReadySnafu { service: SERVICE }.fail()
    }

    /// The VM is gone: its node and its upstream at once.
    fn kill(&mut self, index: usize) {
        self.nodes[index].signal(Signal::SIGKILL);
        self.upstreams[index] = None;
    }

    /// Time from the kill until the node at `witness` takes the lost ones for dead or has forgotten them.
    async fn until_dead(
        &self,
        witness: usize,
        lost: usize,
        killed_at: Instant,
        give_up_ms: u64,
    ) -> Option<Duration> {
        let until = killed_at + Duration::from_millis(give_up_ms);
        while Instant::now() < until {
            let report = read_report::<NodeReport>(self.nodes[witness].admin, "/v1/node", API_TIMEOUT).await;
            let living =
                report.map(|report| report.members.iter().filter(|member| &*member.state != DEAD).count());
            if living.is_ok_and(|living| living + lost <= self.nodes.len()) {
                return Some(killed_at.elapsed());
            }
            tokio::time::sleep(POLL).await;
        }
        None
    }
}

async fn declare(api: &HttpPlatform) -> Result<(), FleetError> {
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

fn report(
    args: &VmLossArgs,
    calls: u32,
    failures: &[Failure],
    killed_at: Instant,
    dead_after: Option<Duration>,
) {
    println!(
        "{} of {} nodes killed under {} calls/s ({})",
        args.killed, args.nodes, args.calls_per_second, args.method
    );
    match dead_after {
        Some(after) => println!("taken for dead after {:.2} s", after.as_secs_f64()),
        None => println!("not taken for dead within {} ms", args.after_ms),
    }
    let mut by_error = IndexMap::<&str, u32>::new();
    for failure in failures {
        *by_error.entry(&failure.error).or_default() += 1;
    }
    println!("{} of {calls} calls failed: {by_error:?}", failures.len());
    let last = failures.iter().map(|failure| failure.ended_at).max();
    if let Some(last) = last {
        println!("the last failed call ended {:.2} s after the kill", (last - killed_at).as_secs_f64());
    }
}
