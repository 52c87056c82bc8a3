//! The `yuccatray-burn` command: prints the service-level burn report of a fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use clap::ValueEnum;
use snafu::ResultExt;
use snafu::Snafu;
use yuccatray::transport::admin_client::AdminClientError;
use yuccatray_burn::collect_reports::CollectOptions;
use yuccatray_burn::collect_reports::collect_reports;
use yuccatray_burn::fleet_burn::FleetBurn;
use yuccatray_burn::page;
use yuccatray_burn::page::PageError;
use yuccatray_burn::table;

/// No report could be made.
const EXIT_FAILED: u8 = 1;
/// With `--check`: an alert fires.
const EXIT_ALERT: u8 = 3;
/// With `--check`: no alert fires, but nodes are missing from the report.
const EXIT_MISSING: u8 = 4;

/// Service-level burn report of a yuccatray fleet.
#[derive(Debug, Parser)]
#[command(name = "yuccatray-burn", version)]
struct Args {
    /// Admin address of any node of the fleet; the other nodes are found through it.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
    /// Report only this service.
    #[arg(long)]
    service: Option<String>,
    /// Output format.
    #[arg(long, short, value_enum, default_value_t = OutputFormat::Table)]
    output: OutputFormat,
    /// Also write a self-contained HTML page with plots to this file.
    #[arg(long)]
    html: Option<PathBuf>,
    /// Timeout for each node's answer, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    node_timeout_ms: u64,
    /// Exit with code 3 if an alert fires, otherwise with code 4 if nodes are missing.
    #[arg(long)]
    check: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum OutputFormat {
    /// Human-readable table.
    Table,
    /// JSON for scripts.
    Json,
}

#[derive(Debug, Snafu)]
enum BurnError {
    #[snafu(display("cannot read the list of members from the node at {node}: {source}"))]
    ReadMembers { node: SocketAddr, source: AdminClientError },
    #[snafu(display("{source}"), context(false))]
    Draw { source: PageError },
    #[snafu(display("cannot write {}: {source}", path.display()))]
    WritePage { path: PathBuf, source: std::io::Error },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args).await {
        Ok(burn) => exit_code(&args, &burn),
        Err(error) => {
            eprintln!("error: {error}");
            eprintln!("hint: --node (or YUCCATRAY_NODE) is the admin address of any node of the fleet");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn run(args: &Args) -> Result<FleetBurn, BurnError> {
    let options = CollectOptions {
        node: args.node,
        service: args.service.clone(),
        timeout: Duration::from_millis(args.node_timeout_ms),
    };
    let collected = collect_reports(&options).await.context(ReadMembersSnafu { node: args.node })?;
    let burn = FleetBurn::new(&collected);
    match args.output {
        OutputFormat::Table => println!("{}", table::render(&burn)),
        OutputFormat::Json => println!("{}", serde_json::to_string_pretty(&burn).unwrap_or_default()),
    }
    if let Some(path) = &args.html {
        std::fs::write(path, page::render(&burn)?).context(WritePageSnafu { path })?;
    }
    Ok(burn)
}

fn exit_code(args: &Args, burn: &FleetBurn) -> ExitCode {
    if args.check && burn.alert_count() > 0 {
        return ExitCode::from(EXIT_ALERT);
    }
    if args.check && !burn.missing.is_empty() {
        return ExitCode::from(EXIT_MISSING);
    }
    ExitCode::SUCCESS
}
