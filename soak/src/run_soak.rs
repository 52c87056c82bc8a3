//! One soak run: a fleet with callers under the disturbances of one seed.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccatray_standin::platform::PlatformFaults;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_testutils::call_history::CallOutcome;
use yuccatray_testutils::daemon_process::loopback_settings;
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::fleet::create_objects;
use yuccatray_testutils::logging_upstream::ExecutionLog;
use yuccatray_testutils::logging_upstream::LogicalClock;

use crate::announced_upstream::AnnouncedUpstream;
use crate::announced_upstream::start_with_upstream;
use crate::callers::Caller;
use crate::callers::ObservedCall;
use crate::disturbance::Disturbance;
use crate::findings::Finding;
use crate::findings::findings;
use crate::soak_node::SoakNode;
use crate::soak_node::SoakNodeConfig;

/// Number of callers per node.
const CALLERS_PER_NODE: u64 = 3;
/// Upper bound of the time between the starts of two disturbances.
const MAX_GAP_MS: u64 = 500;
/// Delay of each request while the platform is slow.
const PLATFORM_DELAY_MS: u64 = 300;
/// Time within which a node must serve calls again after the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the node binary.
    pub binary: PathBuf,
    /// Seed of the disturbances and the calls.
    pub seed: u64,
    /// Number of nodes, each with an upstream.
    pub nodes: usize,
    /// Time during which disturbances are started.
    pub duration: Duration,
    /// Directory for the nodes' logs.
    pub logs: PathBuf,
    /// Whether processes that stop get further signals and rewritten settings.
    pub repeat_signals: bool,
}

/// Result of a soak run.
#[derive(Debug)]
pub struct SoakReport {
    /// Disturbances, each with its start time (since the start of the series) and the index of its node.
    pub disturbances: Vec<(Duration, usize, Disturbance)>,
    /// Number of calls made.
    pub calls: usize,
    /// Number of calls answered by an upstream.
    pub answered: usize,
    /// Violations found.
    pub findings: Vec<Finding>,
}

/// Nodes under test, their platform stand-in and the log of executions.
struct SoakFleet {
    platform: RunningPlatform,
    nodes: Vec<Arc<SoakNode>>,
    upstreams: Vec<AnnouncedUpstream>,
    log: ExecutionLog,
    ticker: LogicalClock,
}

/// Runs the soak test for one seed and returns its report.
///
/// # Panics
///
/// When a process can't be started, or a node doesn't serve calls before the first disturbance.
pub async fn run_soak(options: &SoakOptions) -> SoakReport {
    let fleet = SoakFleet::start(options).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = fleet.spawn_callers(options.seed, &stop);
    let mut applied = fleet.disturb(options).await;
    for (index, node) in fleet.nodes.iter().enumerate() {
        if node.exited_unexpectedly() {
            applied.findings.push(Finding::UnexpectedExit(index));
        } else if !fleet.wait_until_serving(node).await {
            applied.findings.push(Finding::NotRecovered(index));
        }
    }
    stop.store(true, Ordering::SeqCst);
    let calls: Vec<ObservedCall> = callers.join_all().await.into_iter().flatten().collect();
    applied.findings.extend(findings(&calls, &fleet.caller_executions(), applied.paused));
    let answered =
        calls.iter().filter(|observed| matches!(observed.call.outcome, CallOutcome::Answered(_))).count();
    SoakReport {
        disturbances: applied.disturbances,
        calls: calls.len(),
        answered,
        findings: applied.findings,
    }
}

/// Disturbances that were applied, and their findings.
#[derive(Debug, Default)]
struct AppliedDisturbances {
    disturbances: Vec<(Duration, usize, Disturbance)>,
    /// Total time for which processes were suspended.
    paused: Duration,
    findings: Vec<Finding>,
}

impl SoakFleet {
    async fn start(options: &SoakOptions) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform listens");
        create_objects(&platform).await;
        let mut fleet = Self {
            platform,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            log: ExecutionLog::default(),
            ticker: LogicalClock::default(),
        };
        for index in 0..options.nodes {
            let name = format!("vm-{index}");
            let seeds: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.peer_relay.addr).collect();
            let config = SoakNodeConfig {
                binary: options.binary.clone(),
                log: log_path(&options.logs, options.seed, &name),
                settings: loopback_settings(&name, "a", fleet.platform.addr, &seeds),
                repeat_signals: options.repeat_signals,
            };
            let (node, upstream) = start_with_upstream(config, &fleet.log, &fleet.ticker).await;
            fleet.nodes.push(Arc::new(node));
            fleet.upstreams.push(upstream);
        }
        for node in &fleet.nodes {
            assert!(
                fleet.wait_until_serving(node).await,
                "every node serves calls before the first disturbance"
            );
        }
        fleet
    }

    fn spawn_callers(&self, seed: u64, stop: &Arc<AtomicBool>) -> JoinSet<Vec<ObservedCall>> {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS_PER_NODE * self.nodes.len() as u64 {
            let caller = Caller {
                number,
                seed,
                nodes: self.nodes.iter().map(|node| Arc::clone(&node.status)).collect(),
                ticker: self.ticker.clone(),
                stop: Arc::clone(stop),
            };
            callers.spawn(caller.run());
        }
        callers
    }

    /// Starts disturbances at random times, which may overlap, and waits for all of them to end.
    async fn disturb(&self, options: &SoakOptions) -> AppliedDisturbances {
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
        let mut applied = AppliedDisturbances::default();
        let mut running = JoinSet::new();
        let started = Instant::now();
        while started.elapsed() < options.duration {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_GAP_MS))).await;
            let index = rng.random_range(0..self.nodes.len());
            let disturbance = Disturbance::random(&mut rng);
            if let Disturbance::Pause(duration) = disturbance {
                applied.paused += duration;
            }
            applied.disturbances.push((started.elapsed(), index, disturbance));
            let (node, platform) = (Arc::clone(&self.nodes[index]), self.platform.standin.clone());
            running.spawn(async move { apply(disturbance, index, &node, &platform).await });
        }
        applied.findings.extend(running.join_all().await.into_iter().flatten());
        self.platform.standin.set_faults(PlatformFaults::default());
        applied
    }

    /// Probes a node until a call is answered; returns false if none is within the recovery timeout.
    async fn wait_until_serving(&self, node: &SoakNode) -> bool {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        while Instant::now() < deadline {
            let probe = TestCall { idempotent: true, timeout_ms: 1_000, ..TestCall::new("probe; ") };
            let result = call(node.status.ingress(), &probe, &self.ticker).await;
            if matches!(result.outcome, CallOutcome::Answered(_)) {
                return true;
            }
            tokio::time::sleep(RECOVERY_POLL_INTERVAL).await;
        }
        false
    }

    /// Returns the executions of the callers' calls, without those of the recovery probes.
    fn caller_executions(&self) -> Vec<yuccatray_testutils::logging_upstream::Execution> {
        self.log
            .executions()
            .into_iter()
            .filter(|execution| !execution.request.starts_with(b"probe"))
            .collect()
    }
}

/// Applies a disturbance and waits for its end.
async fn apply(
    disturbance: Disturbance,
    index: usize,
    node: &SoakNode,
    platform: &PlatformStandin,
) -> Option<Finding> {
    let (faults, duration) = match disturbance {
        Disturbance::PlatformDown(duration) => {
            (PlatformFaults { down: true, ..PlatformFaults::default() }, duration)
        }
        Disturbance::PlatformSlow(duration) => {
            (PlatformFaults { delay_ms: PLATFORM_DELAY_MS, ..PlatformFaults::default() }, duration)
        }
        Disturbance::PlatformLosesAnswers(lose_answers, duration) => {
            (PlatformFaults { lose_answers, break_watches: true, ..PlatformFaults::default() }, duration)
        }
        of_the_node => return node.apply(of_the_node, index).await,
    };
    inject_platform_faults(platform, faults, duration).await;
    None
}

/// Injects faults into the platform for `duration`.
async fn inject_platform_faults(platform: &PlatformStandin, faults: PlatformFaults, duration: Duration) {
    platform.set_faults(faults);
    tokio::time::sleep(duration).await;
    platform.set_faults(PlatformFaults::default());
}

/// Returns the path of the log of a node.
pub(crate) fn log_path(logs: &Path, seed: u64, name: &str) -> PathBuf {
    logs.join(format!("{seed:016x}-{name}.log"))
}
