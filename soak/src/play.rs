//! One seed, played on a site of its own.

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
use yuccatray_testutils::fleet::TestCall;
use yuccatray_testutils::fleet::call;
use yuccatray_testutils::fleet::create_objects;
use yuccatray_testutils::logging_upstream::ExecutionLog;
use yuccatray_testutils::logging_upstream::LogicalClock;

use crate::callers::Caller;
use crate::callers::Seen;
use crate::disturbance::Disturbance;
use crate::findings::Finding;
use crate::findings::findings;
use crate::place::Place;
use crate::place::Start;

/// Callers for each node.
const CALLERS_PER_NODE: u64 = 3;
const LONGEST_GAP_MS: u64 = 500;
/// Extra time of each call of the platform while it is slow, in milliseconds.
const STORE_DELAY_MS: u64 = 300;
const RECOVERY: Duration = Duration::from_secs(20);
const RECOVERY_POLL: Duration = Duration::from_millis(50);

/// What to play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The node's program.
    pub binary: PathBuf,
    /// Fixes the series of faults and the calls.
    pub seed: u64,
    /// Nodes, each with an upstream.
    pub nodes: usize,
    /// Time for which faults come.
    pub lasts: Duration,
    /// Where the nodes' logs go.
    pub logs: PathBuf,
}

/// What one seed showed.
#[derive(Debug)]
pub struct Report {
    /// The series, with when each began and at which node.
    pub series: Vec<(Duration, usize, Disturbance)>,
    /// Calls that were made.
    pub calls: usize,
    /// Calls that an upstream answered.
    pub answered: usize,
    /// What should not have been.
    pub findings: Vec<Finding>,
}

struct Site {
    platform: RunningPlatform,
    places: Vec<Arc<Place>>,
    log: ExecutionLog,
    ticker: LogicalClock,
}

/// Plays one seed.
///
/// # Panics
///
/// When a process can't be started at all.
pub async fn play(plan: &Plan) -> Report {
    let site = Site::start(plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = site.spawn_callers(plan.seed, &stop);
    let mut played = site.disturb(plan).await;
    for (node, place) in site.places.iter().enumerate() {
        if place.ended_by_itself() {
            played.findings.push(Finding::EndedByItself(node));
        } else if !site.serves_again(place).await {
            played.findings.push(Finding::NotRecovered(node));
        }
    }
    stop.store(true, Ordering::SeqCst);
    let seen: Vec<Seen> = callers.join_all().await.into_iter().flatten().collect();
    played.findings.extend(findings(&seen, &site.runs_of_callers(), played.paused));
    let answered = seen.iter().filter(|seen| matches!(seen.call.outcome, CallOutcome::Answered(_))).count();
    Report { series: played.series, calls: seen.len(), answered, findings: played.findings }
}

#[derive(Debug, Default)]
struct Played {
    series: Vec<(Duration, usize, Disturbance)>,
    paused: Duration,
    findings: Vec<Finding>,
}

impl Site {
    async fn start(plan: &Plan) -> Self {
        let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform listens");
        create_objects(&platform).await;
        let mut site = Self {
            platform,
            places: Vec::new(),
            log: ExecutionLog::default(),
            ticker: LogicalClock::default(),
        };
        for index in 0..plan.nodes {
            let name = format!("vm-{index}");
            let start = Start {
                binary: plan.binary.clone(),
                log: log_of(&plan.logs, plan.seed, &name),
                name,
                platform: site.platform.addr,
                seeds: site.places.iter().map(|place| place.peer_relay.addr).collect(),
            };
            site.places.push(Arc::new(Place::start(start, &site.log, &site.ticker).await));
        }
        for place in &site.places {
            assert!(site.serves_again(place).await, "the site serves before anything is done to it");
        }
        site
    }

    fn spawn_callers(&self, seed: u64, stop: &Arc<AtomicBool>) -> JoinSet<Vec<Seen>> {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS_PER_NODE * self.places.len() as u64 {
            let caller = Caller {
                number,
                seed,
                nodes: self.places.iter().map(|place| Arc::clone(&place.reach)).collect(),
                ticker: self.ticker.clone(),
                stop: Arc::clone(stop),
            };
            callers.spawn(caller.run());
        }
        callers
    }

    /// Begins disturbances one after the other, each whether or not earlier ones are over.
    async fn disturb(&self, plan: &Plan) -> Played {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut played = Played::default();
        let mut under_way = JoinSet::new();
        let begun = Instant::now();
        while begun.elapsed() < plan.lasts {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..LONGEST_GAP_MS))).await;
            let node = rng.random_range(0..self.places.len());
            let disturbance = Disturbance::draw(&mut rng);
            if let Disturbance::Pause(lasts) = disturbance {
                played.paused += lasts;
            }
            played.series.push((begun.elapsed(), node, disturbance));
            let (place, platform) = (Arc::clone(&self.places[node]), self.platform.standin.clone());
            under_way.spawn(async move { inflict(disturbance, node, &place, &platform).await });
        }
        played.findings.extend(under_way.join_all().await.into_iter().flatten());
        self.platform.standin.set_faults(PlatformFaults::default());
        played
    }

    async fn serves_again(&self, place: &Place) -> bool {
        let until = Instant::now() + RECOVERY;
        while Instant::now() < until {
            let probe = TestCall { idempotent: true, timeout_ms: 1_000, ..TestCall::new("probe; ") };
            let seen = call(place.reach.ingress(), &probe, &self.ticker).await;
            if matches!(seen.outcome, CallOutcome::Answered(_)) {
                return true;
            }
            tokio::time::sleep(RECOVERY_POLL).await;
        }
        false
    }

    /// Runs of the callers' calls; probes of the soak's own are left out.
    fn runs_of_callers(&self) -> Vec<yuccatray_testutils::logging_upstream::Execution> {
        self.log.executions().into_iter().filter(|run| !run.request.starts_with(b"probe")).collect()
    }
}

async fn inflict(
    disturbance: Disturbance,
    node: usize,
    place: &Place,
    platform: &PlatformStandin,
) -> Option<Finding> {
    match disturbance {
        Disturbance::Kill => place.kill().await,
        Disturbance::Terminate => {
            return (!place.terminate().await).then_some(Finding::DidNotStop(node));
        }
        Disturbance::Pause(lasts) => place.pause(lasts).await,
        Disturbance::Hangup => place.hang_up().await,
        Disturbance::TouchSettings => place.touch_settings().await,
        Disturbance::Peers(fault, lasts) => place.strike_peers(fault, lasts).await,
        Disturbance::Upstream(fault, lasts) => place.strike_upstream(fault, lasts).await,
        Disturbance::SlowPeers { delay, lasts } => place.slow_peers(delay, lasts).await,
        Disturbance::StoreDown(lasts) => {
            misbehave(platform, PlatformFaults { down: true, ..PlatformFaults::default() }, lasts).await;
        }
        Disturbance::StoreSlow(lasts) => {
            let faults = PlatformFaults { delay_ms: STORE_DELAY_MS, ..PlatformFaults::default() };
            misbehave(platform, faults, lasts).await;
        }
        Disturbance::StoreLosesAnswers(lose_answers, lasts) => {
            let faults = PlatformFaults { lose_answers, break_watches: true, ..PlatformFaults::default() };
            misbehave(platform, faults, lasts).await;
        }
    }
    None
}

async fn misbehave(platform: &PlatformStandin, faults: PlatformFaults, lasts: Duration) {
    platform.set_faults(faults);
    tokio::time::sleep(lasts).await;
    platform.set_faults(PlatformFaults::default());
}

fn log_of(logs: &Path, seed: u64, name: &str) -> PathBuf {
    logs.join(format!("{seed:016x}-{name}.log"))
}
