//! `yuccatray-soak`: plays seeds and says what each showed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use snafu::ResultExt;
use snafu::Snafu;
use yuccatray_soak::play::Plan;
use yuccatray_soak::play::Report;
use yuccatray_soak::play::play;

/// Plays faults on real node processes and checks what callers and upstreams see.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The node's program.
    #[arg(long, default_value = "target/release/yuccatrayd")]
    binary: PathBuf,
    /// First seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time for which faults come, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Nodes, each with an upstream.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=100))]
    nodes: u64,
    /// Folder for the nodes' logs; a seed without findings leaves none.
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
}

#[derive(Debug, Snafu)]
enum SoakError {
    #[snafu(display("cannot write to {}", path.display()))]
    Logs { path: PathBuf, source: std::io::Error },
    #[snafu(display("cannot start threads"))]
    Threads { source: std::io::Error },
}

fn main() -> ExitCode {
    match soak(&Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            let cause = std::error::Error::source(&error).map_or_else(String::new, ToString::to_string);
            eprintln!("error: {error}: {cause}");
            ExitCode::from(2)
        }
    }
}

/// Plays the seeds; the number of findings.
fn soak(arguments: &Arguments) -> Result<usize, SoakError> {
    let logs = &arguments.logs;
    std::fs::create_dir_all(logs).context(LogsSnafu { path: logs.clone() })?;
    let runtime = tokio::runtime::Runtime::new().context(ThreadsSnafu)?;
    let first = arguments.seed.unwrap_or_else(rand::random);
    let mut found = 0;
    let mut failed = Vec::new();
    for seed in (0..arguments.seeds).map(|index| first.wrapping_add(index)) {
        let plan = Plan {
            binary: arguments.binary.clone(),
            seed,
            nodes: usize::try_from(arguments.nodes).unwrap_or(usize::MAX),
            lasts: Duration::from_secs(arguments.seconds),
            logs: logs.clone(),
        };
        let report = runtime.block_on(play(&plan));
        say(seed, &report);
        if report.findings.is_empty() {
            remove_logs(logs, seed)?;
        } else {
            failed.push(seed);
        }
        found += report.findings.len();
    }
    println!("{} seeds from {first}; findings: {found}; seeds with findings: {failed:?}", arguments.seeds);
    Ok(found)
}

fn say(seed: u64, report: &Report) {
    let Report { series, calls, answered, findings } = report;
    println!("seed {seed}: {} disturbances, {answered} of {calls} calls answered", series.len());
    if findings.is_empty() {
        return;
    }
    for (at, node, disturbance) in series {
        println!("  {:8.3} s node {node}: {disturbance:?}", at.as_secs_f64());
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
