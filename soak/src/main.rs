//! The `yuccatray-soak` command: runs the soak test for a series of seeds and prints the findings.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use snafu::ResultExt;
use snafu::Snafu;
use yuccatray_soak::run_soak::SoakOptions;
use yuccatray_soak::run_soak::SoakReport;
use yuccatray_soak::run_soak::run_soak;
use yuccatray_soak::tenant_soak::run_tenant_soak;

/// Injects random faults into real node processes and checks the guarantees given to callers.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Path of the node binary.
    #[arg(long, default_value = "target/release/yuccatrayd")]
    binary: PathBuf,
    /// First seed; random if absent.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds, run one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time during which faults are injected for each seed, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of nodes, each with an upstream.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=100))]
    nodes: u64,
    /// Directory for the nodes' logs; those of seeds without findings are removed.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
    /// Send further signals to processes that stop, and rewrite their settings.
    #[arg(long)]
    repeat_signals: bool,
    /// Run a deployment with tenants, and check keys, quotas, evacuations and cold upstreams.
    #[arg(long)]
    tenants: bool,
}

#[derive(Debug, Snafu)]
enum SoakError {
    #[snafu(display("cannot access the logs at {}", path.display()))]
    Logs { path: PathBuf, source: std::io::Error },
    #[snafu(display("cannot start threads"))]
    Threads { source: std::io::Error },
}

fn main() -> ExitCode {
    match run_seeds(&Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            let cause = std::error::Error::source(&error).map_or_else(String::new, ToString::to_string);
            eprintln!("error: {error}: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds and returns the number of findings.
fn run_seeds(arguments: &Arguments) -> Result<usize, SoakError> {
    let logs = &arguments.logs;
    std::fs::create_dir_all(logs).context(LogsSnafu { path: logs.clone() })?;
    let runtime = tokio::runtime::Runtime::new().context(ThreadsSnafu)?;
    let first = arguments.seed.unwrap_or_else(rand::random);
    let mut finding_count = 0;
    let mut failed_seeds = Vec::new();
    for seed in (0..arguments.seeds).map(|index| first.wrapping_add(index)) {
        let options = SoakOptions {
            binary: arguments.binary.clone(),
            seed,
            nodes: usize::try_from(arguments.nodes).unwrap_or(usize::MAX),
            duration: Duration::from_secs(arguments.seconds),
            logs: logs.clone(),
            repeat_signals: arguments.repeat_signals,
        };
        let report = if arguments.tenants {
            runtime.block_on(run_tenant_soak(&options))
        } else {
            runtime.block_on(run_soak(&options))
        };
        print_report(seed, &report);
        if report.findings.is_empty() {
            remove_logs(logs, seed)?;
        } else {
            failed_seeds.push(seed);
        }
        finding_count += report.findings.len();
    }
    println!(
        "{} seeds from {first}; findings: {finding_count}; seeds with findings: {failed_seeds:?}",
        arguments.seeds
    );
    Ok(finding_count)
}

fn print_report(seed: u64, report: &SoakReport) {
    let SoakReport { disturbances, calls, answered, findings } = report;
    println!("seed {seed}: {} disturbances, {answered} of {calls} calls answered", disturbances.len());
    if findings.is_empty() {
        return;
    }
    for (started, node, disturbance) in disturbances {
        println!("  {:8.3} s node {node}: {disturbance:?}", started.as_secs_f64());
    }
    for finding in findings {
        println!("  FINDING {finding}");
    }
}

fn remove_logs(logs: &PathBuf, seed: u64) -> Result<(), SoakError> {
    let prefix = format!("{seed:016x}-");
    for entry in std::fs::read_dir(logs).context(LogsSnafu { path: logs.clone() })?.flatten() {
        if entry.file_name().to_string_lossy().starts_with(&prefix) {
            std::fs::remove_file(entry.path()).context(LogsSnafu { path: entry.path() })?;
        }
    }
    Ok(())
}
