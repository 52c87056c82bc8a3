//! Runs the fleet of a deployment in one process and prints latencies and the burn report.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use http::Method;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccatray::coordination::manifest::load_manifests;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::service_spec::PrioritySetSpec;
use yuccatray::protocol::service_spec::PrioritySpec;
use yuccatray_burn::collect_reports::CollectOptions;
use yuccatray_burn::collect_reports::collect_reports;
use yuccatray_burn::fleet_burn::FleetBurn;
use yuccatray_burn::page;
use yuccatray_burn::table;
use yuccatray_load::caller::Caller;
use yuccatray_load::deployment::Deployment;
use yuccatray_load::embedded_fleet::EmbeddedFleet;
use yuccatray_load::embedded_fleet::FleetError;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::latency_table::LatencyTable;
use yuccatray_load::open_loop::StreamPlan;
use yuccatray_load::open_loop::run_stream;

/// Timeout of collecting the burn report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the fleet of a deployment in one process and prints latencies and the burn report.
#[derive(Debug, Args)]
pub struct FleetArgs {
    /// Deployment file: JSON with comments.
    #[arg(default_value = "examples/dakar.jsonc")]
    deployment: PathBuf,
    /// File to which the burn report is also written as an HTML page with plots.
    #[arg(long)]
    html: Option<PathBuf>,
}

/// Runs `yuccatray-load fleet`.
pub async fn cmd_fleet(args: &FleetArgs) -> Result<()> {
    let deployment = Deployment::load(&args.deployment).inspect_err(|error| {
        for field_error in error.problems() {
            eprintln!("  {}: {}", field_error.field, field_error.problem);
        }
    })?;
    let directory = args.deployment.parent().unwrap_or_else(|| Path::new("."));
    let priorities = read_priorities(&directory.join(deployment.objects.as_ref()))?;
    let started = Instant::now();
    let fleet = EmbeddedFleet::start(&deployment, directory).await?;
    println!("{} nodes ready after {:.1} s", fleet.members.len(), started.elapsed().as_secs_f64());
    let table = run_streams(&deployment, &fleet, &priorities).await;
    println!("{}", table.lock().render());
    println!();
    let burn = collect_burn(&fleet).await?;
    println!("{}", table::render(&burn));
    if let Some(path) = &args.html {
        write_page(&burn, path)?;
    }
    let counts = fleet.platform.standin.counts();
    println!(
        "\nplatform calls: {} reads, {} watches, {} writes",
        counts.gets + counts.lists,
        counts.watches,
        counts.writes
    );
    if !fleet.stop().await {
        return Err(FleetError::NotReady {
            service: "a node stopped before all calls had finished".to_owned(),
        });
    }
    Ok(())
}

/// Runs all call streams of the deployment and returns their latencies.
async fn run_streams(
    deployment: &Deployment,
    fleet: &EmbeddedFleet,
    priorities: &IndexMap<Arc<str>, PrioritySpec>,
) -> Arc<Mutex<LatencyTable>> {
    let table = Arc::new(Mutex::new(LatencyTable::default()));
    let callers: Vec<Arc<Caller>> =
        (0..fleet.members.len()).map(|index| Arc::new(Caller::new(fleet.ingress_addr(index)))).collect();
    let duration = Duration::from_millis(deployment.duration_ms);
    let mut streams = JoinSet::new();
    let mut seed = deployment.seed;
    for service in &deployment.services {
        for stream in &service.streams {
            seed = seed.wrapping_add(1);
            let objective_ms = priorities.get(&stream.priority).map_or(u64::MAX, |spec| spec.objective_ms);
            let plan = StreamPlan {
                service: Arc::clone(&service.name),
                priority: Arc::clone(&stream.priority),
                method: stream.method.parse().unwrap_or(Method::GET),
                calls_per_second: stream.calls_per_second,
                objective: Duration::from_millis(objective_ms),
                seed,
            };
            streams.spawn(run_stream(plan, callers.clone(), duration, Arc::clone(&table)));
        }
    }
    streams.join_all().await;
    table
}

/// Collects the burn report of the whole fleet through its first node.
async fn collect_burn(fleet: &EmbeddedFleet) -> Result<FleetBurn> {
    let node = fleet.members[0].node.addrs().admin;
    let options = CollectOptions { node, service: None, timeout: REPORT_TIMEOUT };
    let collected =
        collect_reports(&options).await.map_err(|error| FleetError::Burn { reason: error.to_string() })?;
    Ok(FleetBurn::new(&collected))
}

fn write_page(burn: &FleetBurn, path: &Path) -> Result<()> {
    let page = page::render(burn).map_err(|error| FleetError::Burn { reason: error.to_string() })?;
    std::fs::write(path, page).map_err(|error| FleetError::Burn { reason: error.to_string() })
}

/// Reads the priorities that the objects of a file declare, by name.
pub fn read_priorities(path: &Path) -> Result<IndexMap<Arc<str>, PrioritySpec>> {
    let mut priorities = IndexMap::new();
    for manifest in load_manifests(path)? {
        if manifest.writable_kind() == Some(ObjectKind::PrioritySet) {
            let set = serde_json::from_value::<PrioritySetSpec>(manifest.spec);
            priorities.extend(set.into_iter().flat_map(|set| set.priorities));
        }
    }
    Ok(priorities)
}
