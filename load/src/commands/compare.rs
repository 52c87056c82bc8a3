//! Compares the direct call with calls through two relays and two nodes, in turn in one run.

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
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::embedded_fleet::StandinSnafu;
use yuccatray_load::leg::LegResult;
use yuccatray_load::leg::Pace;
use yuccatray_load::leg::RepeatedCall;
use yuccatray_load::leg::run_leg;
use yuccatray_load::process_usage::ProcessUsage;
use yuccatray_load::relay::start_relay;

const TARGET_SERVICE: &str = "catalogue";
const INGRESS_SERVICE: &str = "orders";
const PRIORITY: &str = "browse";
const SLOTS: u32 = 40;
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
const DIRECT: &str = "direct";
const MIB: f64 = 1_048_576.0;

/// Compares the direct call with calls through two relays and two nodes, in turn in one run.
///
/// The relays only copy bytes: what they add is what two more processes on the path cost on
/// this machine, whatever they do. The upstream answers at once, so that what is measured is the path and not
/// the service. Without addresses, two nodes and the upstream are started in
/// this process; with them, nodes that run as processes of their own are measured.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// Rates to compare at, in calls per second.
    #[arg(long, value_delimiter = ',', default_value = "100,500,1000,2000")]
    rates: Vec<f64>,
    /// Callers that call without pause after the rates, to find where it saturates.
    #[arg(long, value_delimiter = ',', default_value = "1,10,40")]
    callers: Vec<u32>,
    /// Length of each leg, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    leg_ms: u64,
    /// Times that the two legs alternate at each rate.
    #[arg(long, default_value_t = 3)]
    turns: u32,
    /// Address of an upstream that runs already.
    #[arg(long, requires = "through")]
    direct: Option<SocketAddr>,
    /// Ingress address of a node that runs already and has no upstream of the service.
    #[arg(long, requires = "direct")]
    through: Option<SocketAddr>,
    /// Address of the first of two relays that run already.
    #[arg(long, requires = "direct")]
    relayed: Option<SocketAddr>,
    /// Processes whose processor time and memory are counted; this one by default.
    #[arg(long, value_delimiter = ',')]
    pids: Vec<u32>,
}

struct Comparison {
    ways: Vec<(&'static str, Arc<RepeatedCall>)>,
    leg: Duration,
    turns: u32,
    pids: Vec<u32>,
}

/// Legs of one kind, turn by turn.
#[derive(Default)]
struct Legs {
    results: Vec<LegResult>,
    processor: Duration,
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
        None => start_relay(start_relay(direct).await.context(StandinSnafu)?).await.context(StandinSnafu)?,
    };
    let comparison = Comparison {
        ways: vec![
            (DIRECT, repeated(direct)),
            ("two relays", repeated(relayed)),
            ("two nodes", repeated(through)),
        ],
        leg: Duration::from_millis(args.leg_ms),
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
        let mut added = Vec::new();
        for rate in &args.rates {
            let pace = |turn: u32| Pace::OpenLoop { calls_per_second: *rate, seed: u64::from(turn) };
            added.push(self.compare(&format!("{rate}/s"), pace, &mut table).await);
        }
        for callers in &args.callers {
            let pace = |_turn| Pace::ClosedLoop { callers: *callers };
            added.push(self.compare(&format!("{callers} callers"), pace, &mut table).await);
        }
        println!("{}", table.trim_fmt());
        println!("\nAdded to the direct call (all turns together; least to most of single turns):");
        for line in added {
            println!("{line}");
        }
        let before = self.usage().processor;
        tokio::time::sleep(self.leg).await;
        let idle = self.usage().processor.saturating_sub(before).as_secs_f64() / self.leg.as_secs_f64();
        println!("\nWithout calls: {:.2} % of a core", idle * 100.0);
    }

    async fn warm_up(&self) {
        for (_, call) in &self.ways {
            let pace = Pace::ClosedLoop { callers: SLOTS };
            run_leg(Arc::clone(call), pace, self.leg / 4).await;
        }
    }

    async fn compare<F>(&self, name: &str, pace: F, table: &mut Table) -> String
    where
        F: Fn(u32) -> Pace,
    {
        let mut all: Vec<Legs> = self.ways.iter().map(|_| Legs::default()).collect();
        for turn in 0..self.turns {
            for ((_, call), legs) in self.ways.iter().zip(&mut all) {
                self.leg(call, pace(turn), legs).await;
            }
        }
        let mut lines = Vec::new();
        for ((way, _), legs) in self.ways.iter().zip(&all) {
            table.add_row(self.row(name, way, legs));
            if *way != DIRECT {
                let figures: Vec<String> = QUANTILES.iter().map(|at| added(&all[0], legs, *at)).collect();
                lines.push(format!("  {name}, {way}: {}", figures.join(", ")));
            }
        }
        lines.join("\n")
    }

    async fn leg(&self, call: &Arc<RepeatedCall>, pace: Pace, legs: &mut Legs) {
        let before = self.usage().processor;
        legs.results.push(run_leg(Arc::clone(call), pace, self.leg).await);
        legs.processor += self.usage().processor.saturating_sub(before);
    }

    fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(&self.pids).unwrap_or_default()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts and sizes of one run are far below 2^52")]
    fn row(&self, name: &str, leg: &str, legs: &Legs) -> Vec<String> {
        let Some(all) = legs.together() else {
            return Vec::new();
        };
        let calls = (all.answered() + all.failed).max(1) as f64;
        vec![
            name.to_owned(),
            leg.to_owned(),
            format!("{:.0}", all.answered() as f64 / all.elapsed.as_secs_f64()),
            all.failed.to_string(),
            format!("{:.3}", all.quantile_ms(0.5)),
            format!("{:.3}", all.quantile_ms(0.99)),
            format!("{:.3}", all.quantile_ms(0.999)),
            format!("{:.0}", legs.processor.as_secs_f64() * 1e6 / calls),
            format!("{:.1}", self.usage().resident_bytes as f64 / MIB),
        ]
    }
}

impl Legs {
    fn together(&self) -> Option<LegResult> {
        let (first, rest) = self.results.split_first()?;
        let mut all = first.clone();
        for result in rest {
            all.add(result);
        }
        Some(all)
    }
}

fn added(direct: &Legs, through: &Legs, quantile: f64) -> String {
    let single: Vec<f64> = through
        .results
        .iter()
        .zip(&direct.results)
        .map(|(through, direct)| through.quantile_ms(quantile) - direct.quantile_ms(quantile))
        .collect();
    let least = single.iter().copied().fold(f64::INFINITY, f64::min);
    let most = single.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let all = through.together().zip(direct.together());
    let all =
        all.map_or(0.0, |(through, direct)| through.quantile_ms(quantile) - direct.quantile_ms(quantile));
    format!("p{} {all:.3} ms ({least:.3} to {most:.3})", quantile * 100.0)
}

fn repeated(addr: SocketAddr) -> Arc<RepeatedCall> {
    let plan = CallPlan {
        method: Method::GET,
        target: "/patterns/7".to_owned(),
        service: TARGET_SERVICE.to_owned(),
        priority: PRIORITY.to_owned(),
        body: Bytes::new(),
    };
    Arc::new(RepeatedCall { caller: Arc::new(Caller::new(addr)), plan })
}

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
