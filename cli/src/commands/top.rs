//! `yuccactl top`: shows the current load of each service and the error budget burn of each priority.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use indexmap::IndexMap;
use serde::Serialize;
use yuccatray::protocol::burn::MissCause;
use yuccatray::protocol::burn::Window;
use yuccatray::transport::admin_client::read_from_members;
use yuccatray::transport::admin_client::read_report;
use yuccatray::transport::admin_server::NodeReport;
use yuccatray_burn::collect_reports::CollectOptions;
use yuccatray_burn::collect_reports::collect_reports;
use yuccatray_burn::fleet_burn::FleetBurn;
use yuccatray_burn::fleet_burn::FleetRow;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::output::print_table;

/// Terminal sequence that clears the screen and moves the cursor to the top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";
/// Cell text for a missing value.
const NO_VALUE: &str = "-";
const PERCENT: f64 = 100.0;

/// Shows the current load of each service and the error budget burn of each priority, refreshed continuously.
#[derive(Debug, Args)]
pub struct TopArgs {
    /// Admin address of any node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
    /// Show one view and exit.
    #[arg(long)]
    once: bool,
    /// Time between two refreshes, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    interval_ms: u64,
    /// Timeout of a request to one node, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    node_timeout_ms: u64,
}

/// Load of one service, added up over its gates.
#[derive(Debug, Default, Serialize)]
struct ServiceLoad {
    gates: u32,
    running: u32,
    queued: u32,
    /// Slots that the gates grant at present.
    limit: u32,
}

/// Figures of one service and priority: the burn rate over five minutes, all others over the last minute.
#[derive(Debug, Serialize)]
struct TopRow {
    service: Arc<str>,
    priority: Arc<str>,
    calls_per_second: f64,
    good_percent: Option<f64>,
    burn_rate_5m: Option<f64>,
    main_cause: Option<MissCause>,
}

/// Everything that one refresh shows.
#[derive(Debug, Serialize)]
struct View {
    services: IndexMap<Arc<str>, ServiceLoad>,
    rows: Vec<TopRow>,
    /// Names of the nodes whose burn report is missing from the figures.
    missing_nodes: Vec<Arc<str>>,
}

/// Runs `yuccactl top`; JSON is printed once, as with `--once`.
pub async fn cmd_top(context: &CommandContext, args: &TopArgs) -> Result<()> {
    if context.output == OutputFormat::Json {
        print_json(&load_view(args).await?);
        return Ok(());
    }
    if args.once {
        print(&load_view(args).await?);
        return Ok(());
    }
    loop {
        let view = load_view(args).await?;
        print!("{CLEAR_SCREEN}");
        print(&view);
        tokio::time::sleep(Duration::from_millis(args.interval_ms)).await;
    }
}

/// Collects the reports of all members that the node knows.
async fn load_view(args: &TopArgs) -> Result<View> {
    let timeout = Duration::from_millis(args.node_timeout_ms);
    let to_error = |error| CliError::Node {
        message: format!("cannot read the list of members from the node at {}: {error}", args.node),
    };
    let options = CollectOptions { node: args.node, service: None, timeout };
    let burn = FleetBurn::new(&collect_reports(&options).await.map_err(to_error)?);
    let node_report = read_report::<NodeReport>(args.node, "/v1/node", timeout).await.map_err(to_error)?;
    let mut services = IndexMap::<Arc<str>, ServiceLoad>::new();
    for (member, response) in read_from_members::<NodeReport>(node_report.members, "/v1/node", timeout).await
    {
        if let (Some(service), Ok(report)) = (member.service, response) {
            services.entry(service).or_default().add(&report);
        }
    }
    services.sort_unstable_keys();
    Ok(View {
        services,
        rows: burn.rows.iter().map(top_row).collect(),
        missing_nodes: burn.missing.iter().map(|missing| Arc::clone(&missing.node)).collect(),
    })
}

impl ServiceLoad {
    /// Adds the load of one gate.
    const fn add(&mut self, report: &NodeReport) {
        self.gates += 1;
        self.running += report.running;
        self.queued += report.queued;
        self.limit += report.limit;
    }
}

/// Returns the row to show for a service and priority.
fn top_row(row: &FleetRow) -> TopRow {
    let last_minute = row.window(Window::OneMinute);
    let calls = last_minute.map_or(0, |burn| burn.calls);
    let good = last_minute.map_or(0, |burn| burn.counts.good);
    TopRow {
        service: Arc::clone(&row.service),
        priority: Arc::clone(&row.priority),
        calls_per_second: as_f64(calls) / Window::OneMinute.length().as_secs_f64(),
        good_percent: (calls > 0).then(|| as_f64(good) / as_f64(calls) * PERCENT),
        burn_rate_5m: row.window(Window::FiveMinutes).and_then(|burn| burn.burn_rate),
        main_cause: last_minute.and_then(|burn| burn.main_cause),
    }
}

/// Prints the table of services, the table of priorities and the missing nodes.
fn print(view: &View) {
    let services = view.services.iter().map(|(name, load)| {
        vec![
            name.to_string(),
            load.gates.to_string(),
            load.running.to_string(),
            load.queued.to_string(),
            load.limit.to_string(),
        ]
    });
    print_table(&["SERVICE", "GATES", "RUNNING", "QUEUED", "SLOTS"], services.collect());
    println!();
    let rows = view.rows.iter().map(|row| {
        vec![
            row.service.to_string(),
            row.priority.to_string(),
            format!("{:.1}", row.calls_per_second),
            row.good_percent.map_or(NO_VALUE.to_owned(), |good| format!("{good:.2} %")),
            row.burn_rate_5m.map_or(NO_VALUE.to_owned(), |rate| format!("{rate:.2}")),
            row.main_cause.map_or(NO_VALUE, MissCause::name).to_owned(),
        ]
    });
    let header = ["SERVICE", "PRIORITY", "CALLS/S 1M", "IN OBJECTIVE 1M", "BURN 5M", "BURNED BY"];
    print_table(&header, rows.collect());
    if !view.missing_nodes.is_empty() {
        let names: Vec<&str> = view.missing_nodes.iter().map(AsRef::as_ref).collect();
        println!("\nMISSING from these figures: {}", names.join(", "));
    }
}

#[expect(clippy::cast_precision_loss, reason = "calls of a minute are far below 2^52")]
const fn as_f64(number: u64) -> f64 {
    number as f64
}
