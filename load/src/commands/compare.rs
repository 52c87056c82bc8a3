//! Compares the latency of direct calls with that of calls through two relays and through two nodes.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use http::Method;
use snafu::ResultExt;
use yuccatray_load::caller::CallPlan;
use yuccatray_load::caller::Caller;
use yuccatray_load::deployment::CallStream;
use yuccatray_load::deployment::Deployment;
use yuccatray_load::deployment::ServiceLoad;
use yuccatray_load::embedded_fleet::EmbeddedFleet;
use yuccatray_load::embedded_fleet::ListenSnafu;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::load_run::LoadModel;
use yuccatray_load::load_run::LoadResult;
use yuccatray_load::load_run::RepeatedCall;
use yuccatray_load::load_run::run_load;
use yuccatray_load::process_usage::ProcessUsage;
use yuccatray_load::relay::start_relay;

/// Service of the upstream that is called.
const TARGET_SERVICE: &str = "catalogue";
/// Service of the node that serves as ingress, so that it has no upstream of the target service.
const INGRESS_SERVICE: &str = "orders";
const PRIORITY: &str = "browse";
const SLOTS: u32 = 40;
/// Quantiles at which added latency is printed.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// Name of the target without a relay or node on the path.
const DIRECT: &str = "direct";
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Compares direct calls with calls through two relays and through two nodes, alternating in one run.
///
/// The relays only copy bytes, so their added latency is the minimum overhead of two more processes on the
/// path on this machine. The upstream responds at once, so that the latency is that of the path, without
/// service time. Without addresses, two nodes and the upstream are started in this process; with addresses,
/// nodes that run as separate processes are measured.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// Rates of the open-loop runs, in calls per second.
    #[arg(long, value_delimiter = ',', default_value = "100,500,1000,2000")]
    rates: Vec<f64>,
    /// Numbers of callers of the closed-loop runs that follow, which find the maximum throughput.
    #[arg(long, value_delimiter = ',', default_value = "1,10,40")]
    callers: Vec<u32>,
    /// Duration of each run against one target, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    leg_ms: u64,
    /// Runs against each target at each rate or number of callers, with the targets alternating.
    #[arg(long, default_value_t = 3)]
    turns: u32,
    /// Address of a running upstream.
    #[arg(long, requires = "through")]
    direct: Option<SocketAddr>,
    /// Ingress address of a running node that has no upstream of the service.
    #[arg(long, requires = "direct")]
    through: Option<SocketAddr>,
    /// Address of the first of two running relays.
    #[arg(long, requires = "direct")]
    relayed: Option<SocketAddr>,
    /// IDs of the processes whose CPU time and memory are measured; this process by default.
    #[arg(long, value_delimiter = ',')]
    pids: Vec<u32>,
}

/// Settings of a comparison, with the named calls to compare.
struct Comparison {
    targets: Vec<(&'static str, Arc<RepeatedCall>)>,
    run_duration: Duration,
    turns: u32,
    pids: Vec<u32>,
}

/// Results of the runs against one target under one load, by turn.
#[derive(Default)]
struct TargetResults {
    runs: Vec<LoadResult>,
    cpu_time: Duration,
}

/// Runs `yuccatray-load compare`.
pub async fn cmd_compare(args: &CompareArgs) -> Result<()> {
    let mut fleet = None;
    let (direct, through) = if let (Some(direct), Some(through)) = (args.direct, args.through) {
        (direct, through)
    } else {
        let started = EmbeddedFleet::start(&deployment(), Path::new("examples")).await?;
        let addrs = (started.members[0].upstream.addr, started.ingress_addr(1));
        fleet = Some(started);
        addrs
    };
    let relayed = match args.relayed {
        Some(relayed) => relayed,
        None => start_relay(start_relay(direct).await.context(ListenSnafu)?).await.context(ListenSnafu)?,
    };
    let comparison = Comparison {
        targets: vec![
            (DIRECT, repeated_call(direct)),
            ("two relays", repeated_call(relayed)),
            ("two nodes", repeated_call(through)),
        ],
        run_duration: Duration::from_millis(args.leg_ms),
        turns: args.turns,
        pids: if args.pids.is_empty() { vec![std::process::id()] } else { args.pids.clone() },
    };
    comparison.run(args).await;
    if let Some(fleet) = fleet {
        fleet.stop().await;
    }
    Ok(())
}

impl Comparison {
    async fn run(&self, args: &CompareArgs) {
        let mut table = Table::new();
        table.load_style(NOTHING);
        table.set_header([
            "PACE",
            "LEG",
            "CALLS/S",
            "FAILED",
            "P50 MS",
            "P99 MS",
            "P99.9 MS",
            "CPU US/CALL",
            "RSS MIB",
        ]);
        self.warm_up().await;
        let mut added_latencies = Vec::new();
        for rate in &args.rates {
            let load_model =
                |turn: u32| LoadModel::OpenLoop { calls_per_second: *rate, seed: u64::from(turn) };
            added_latencies.push(self.compare(&format!("{rate}/s"), load_model, &mut table).await);
        }
        for callers in &args.callers {
            let load_model = |_turn| LoadModel::ClosedLoop { callers: *callers };
            added_latencies.push(self.compare(&format!("{callers} callers"), load_model, &mut table).await);
        }
        println!("{}", table.trim_fmt());
        println!(
            "\nLatency added to the direct call (all turns merged; minimum to maximum of single turns):"
        );
        for line in added_latencies {
            println!("{line}");
        }
        let before = self.usage().cpu_time;
        tokio::time::sleep(self.run_duration).await;
        let idle_cpu =
            self.usage().cpu_time.saturating_sub(before).as_secs_f64() / self.run_duration.as_secs_f64();
        println!("\nCPU without calls: {:.2} % of a core", idle_cpu * 100.0);
    }

    /// Opens connections and warms up every target.
    async fn warm_up(&self) {
        for (_, call) in &self.targets {
            let load_model = LoadModel::ClosedLoop { callers: SLOTS };
            run_load(Arc::clone(call), load_model, self.run_duration / 4).await;
        }
    }

    /// Runs every target in turn, adds its row to the table, and returns lines on the added latency.
    async fn compare<F>(&self, load_name: &str, load_model: F, table: &mut Table) -> String
    where
        F: Fn(u32) -> LoadModel,
    {
        let mut all: Vec<TargetResults> = self.targets.iter().map(|_| TargetResults::default()).collect();
        for turn in 0..self.turns {
            for ((_, call), results) in self.targets.iter().zip(&mut all) {
                self.run_target(call, load_model(turn), results).await;
            }
        }
        let mut lines = Vec::new();
        for ((target_name, _), results) in self.targets.iter().zip(&all) {
            table.add_row(self.row(load_name, target_name, results));
            if *target_name != DIRECT {
                let differences: Vec<String> =
                    QUANTILES.iter().map(|quantile| added_latency(&all[0], results, *quantile)).collect();
                lines.push(format!("  {load_name}, {target_name}: {}", differences.join(", ")));
            }
        }
        lines.join("\n")
    }

    /// Runs one turn against a target and adds its results.
    async fn run_target(&self, call: &Arc<RepeatedCall>, load_model: LoadModel, results: &mut TargetResults) {
        let before = self.usage().cpu_time;
        results.runs.push(run_load(Arc::clone(call), load_model, self.run_duration).await);
        results.cpu_time += self.usage().cpu_time.saturating_sub(before);
    }

    fn usage(&self) -> ProcessUsage {
        ProcessUsage::measure(&self.pids).unwrap_or_default()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts and sizes of one run are far below 2^52")]
    fn row(&self, load_name: &str, target_name: &str, results: &TargetResults) -> Vec<String> {
        let Some(all) = results.merged() else {
            return Vec::new();
        };
        let calls = (all.answered() + all.failed).max(1) as f64;
        vec![
            load_name.to_owned(),
            target_name.to_owned(),
            format!("{:.0}", all.answered() as f64 / all.elapsed.as_secs_f64()),
            all.failed.to_string(),
            format!("{:.3}", all.quantile_ms(0.5)),
            format!("{:.3}", all.quantile_ms(0.99)),
            format!("{:.3}", all.quantile_ms(0.999)),
            format!("{:.0}", results.cpu_time.as_secs_f64() * 1e6 / calls),
            format!("{:.1}", self.usage().resident_bytes as f64 / BYTES_PER_MIB),
        ]
    }
}

impl TargetResults {
    /// Returns the results of all turns as one, or `None` without turns.
    fn merged(&self) -> Option<LoadResult> {
        let (first, rest) = self.runs.split_first()?;
        let mut all = first.clone();
        for result in rest {
            all.add(result);
        }
        Some(all)
    }
}

/// Formats the latency that a target adds to the direct call, merged and by turn.
fn added_latency(direct: &TargetResults, through: &TargetResults, quantile: f64) -> String {
    let turn_differences: Vec<f64> = through
        .runs
        .iter()
        .zip(&direct.runs)
        .map(|(through, direct)| through.quantile_ms(quantile) - direct.quantile_ms(quantile))
        .collect();
    let minimum = turn_differences.iter().copied().fold(f64::INFINITY, f64::min);
    let maximum = turn_differences.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let all = through.merged().zip(direct.merged());
    let all =
        all.map_or(0.0, |(through, direct)| through.quantile_ms(quantile) - direct.quantile_ms(quantile));
    format!("p{} {all:.3} ms ({minimum:.3} to {maximum:.3})", quantile * 100.0)
}

/// Creates the call that is sent to an address repeatedly.
fn repeated_call(addr: SocketAddr) -> Arc<RepeatedCall> {
    let plan = CallPlan {
        method: Method::GET,
        target: "/patterns/7".to_owned(),
        service: TARGET_SERVICE.to_owned(),
        priority: PRIORITY.to_owned(),
        body: Bytes::new(),
    };
    Arc::new(RepeatedCall { caller: Arc::new(Caller::new(addr)), plan })
}

/// Returns a deployment of two nodes: one beside the upstream, and one as ingress.
fn deployment() -> Deployment {
    let service = |name: &str| ServiceLoad {
        name: Arc::from(name),
        upstreams: 1,
        slots: SLOTS,
        mean_service_us: 0,
        service_stages: 1,
        streams: Vec::<CallStream>::new(),
    };
    Deployment {
        region: Arc::from("dakar"),
        zones: vec![Arc::from("dakar-a")],
        objects: Arc::from("objects/dakar.jsonc"),
        services: vec![service(TARGET_SERVICE), service(INGRESS_SERVICE)],
        duration_ms: 1_000,
        seed: 1,
    }
}
