//! Compares the direct call with the call through two nodes, in turn in one run.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use http::Method;
use parking_lot::Mutex;
use yuccatray_load::caller::Caller;
use yuccatray_load::deployment::CallStream;
use yuccatray_load::deployment::Deployment;
use yuccatray_load::deployment::ServiceLoad;
use yuccatray_load::embedded_fleet::EmbeddedFleet;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::latency_table::LatencyTable;
use yuccatray_load::open_loop::StreamPlan;
use yuccatray_load::open_loop::run_stream;

const TARGET_SERVICE: &str = "catalogue";
const INGRESS_SERVICE: &str = "orders";
const PRIORITY: &str = "browse";
const MEAN_SERVICE_US: u64 = 1;

/// Compares the direct call with the call through two nodes.
#[derive(Debug, Args)]
pub struct CompareArgs {
    /// Rates to compare at, in calls per second.
    #[arg(long, value_delimiter = ',', default_value = "100,500,1000,2000")]
    rates: Vec<f64>,
    /// Length of each leg, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    leg_ms: u64,
    /// Times that the two legs alternate at each rate.
    #[arg(long, default_value_t = 3)]
    turns: u32,
}

/// Runs `yuccatray-load compare`.
pub async fn cmd_compare(args: &CompareArgs) -> Result<()> {
    let deployment = deployment();
    let fleet = EmbeddedFleet::start(&deployment, Path::new("examples")).await?;
    let direct = Arc::new(Caller::new(fleet.members[0].upstream.addr));
    let through = Arc::new(Caller::new(fleet.ingress_addr(1)));
    let table = Arc::new(Mutex::new(LatencyTable::default()));
    for rate in &args.rates {
        for turn in 0..args.turns {
            leg("direct", *rate, turn, &direct, args, &table).await;
            leg("two nodes", *rate, turn, &through, args, &table).await;
        }
    }
    println!("{}", table.lock().render());
    print_added(&table.lock());
    fleet.stop().await;
    Ok(())
}

async fn leg(
    name: &str,
    rate: f64,
    turn: u32,
    caller: &Arc<Caller>,
    args: &CompareArgs,
    table: &Arc<Mutex<LatencyTable>>,
) {
    let own = Arc::new(Mutex::new(LatencyTable::default()));
    let plan = StreamPlan {
        service: Arc::from(TARGET_SERVICE),
        priority: Arc::from(PRIORITY),
        method: Method::GET,
        calls_per_second: rate,
        objective: Duration::from_secs(1),
        seed: u64::from(turn),
    };
    run_stream(plan, vec![Arc::clone(caller)], Duration::from_millis(args.leg_ms), Arc::clone(&own)).await;
    let rate_name = Arc::from(format!("{rate}/s"));
    table.lock().merge(&own.lock(), &Arc::from(name), &rate_name);
}

fn print_added(table: &LatencyTable) {
    println!("\nAdded by two nodes:");
    for ((name, rate), row) in table.rows().filter(|((name, _), _)| name.as_ref() == "two nodes") {
        let direct = table.rows().find(|((other, at), _)| other != name && at == rate);
        if let Some((_, direct)) = direct {
            let added = |quantile| row.quantile_ms(quantile) - direct.quantile_ms(quantile);
            println!(
                "  {rate}: p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
                added(0.5),
                added(0.99),
                added(0.999)
            );
        }
    }
}

fn deployment() -> Deployment {
    let service = |name: &str| ServiceLoad {
        name: Arc::from(name),
        upstreams: 1,
        slots: 40,
        mean_service_us: MEAN_SERVICE_US,
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
