//! The yuccatray node daemon: reads its settings, runs one node beside an upstream and stops it on a signal.

mod node_settings;
mod reload;
mod signals;

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::WriteLogger;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use yuccatray::coordination::routing::PowerOfTwoChoices;
use yuccatray::coordination::routing::RoutingPolicy;
use yuccatray::coordination::routing::ZoneFirst;
use yuccatray::log_event;
use yuccatray::node::InFlightCounts;
use yuccatray::node::Node;
use yuccatray::node::NodeError;
use yuccatray::protocol::checked_json::JsonError;
use yuccatray::protocol::settings::DialectName;
use yuccatray::protocol::settings::LogLevel;
use yuccatray::transport::log_writer::NonBlockingLogWriter;
use yuccatray_platform::ExternalPlatform;

use crate::node_settings::log_time_limits;
use crate::reload::SettingsFile;
use crate::reload::level_filter;
use crate::signals::ReceivedSignal;
use crate::signals::Signals;

/// Interval between checks of the settings file for changes that no SIGHUP reports.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for which the end of the process waits until the calls that are left have been dropped.
const CALLS_END_TIMEOUT: Duration = Duration::from_millis(100);
/// Exit code when the node could not start.
const EXIT_START_FAILED: u8 = 1;
/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code when the shutdown aborted calls in flight.
const EXIT_CALLS_ABORTED: u8 = 3;

/// Runs a yuccatray node beside an upstream.
#[derive(Debug, Parser)]
#[command(name = "yuccatrayd", version)]
struct Args {
    /// Settings file, in JSON with comments.
    #[arg(long, env = "YUCCATRAY_SETTINGS", required_unless_present = "print_defaults")]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// Print example settings with every default and exit.
    #[arg(long)]
    print_defaults: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let Some(path) = args.settings.filter(|_| !args.print_defaults) else {
        print!("{}", include_str!("../../examples/settings.jsonc"));
        return ExitCode::SUCCESS;
    };
    if args.check {
        return check(&path);
    }
    // Signals are handled from here on, since the default action of each would end the process.
    let (control_runtime, signals) = match control_runtime() {
        Ok(control) => control,
        Err(error) => {
            eprintln!("error: cannot listen for signals: {error}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let settings_file = match SettingsFile::load(path.clone()) {
        Ok(settings_file) => settings_file,
        Err(error) => {
            print_settings_error(&path, &error);
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    start_log(settings_file.settings().log.level);
    log_time_limits(settings_file.settings());
    let worker_threads = settings_file.settings().process.worker_threads as usize;
    let call_runtime =
        Builder::new_multi_thread().worker_threads(worker_threads).thread_name("calls").enable_all().build();
    match call_runtime {
        Ok(call_runtime) => {
            let exit_code = control_runtime.block_on(run(settings_file, signals, call_runtime.handle()));
            call_runtime.shutdown_timeout(CALLS_END_TIMEOUT);
            log::logger().flush();
            exit_code
        }
        Err(error) => {
            eprintln!("error: cannot start {worker_threads} worker threads: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Checks a settings file.
fn check(path: &Path) -> ExitCode {
    if let Err(error) = node_settings::load(path) {
        print_settings_error(path, &error);
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    }
    println!("{}: settings are valid", path.display());
    ExitCode::SUCCESS
}

/// Creates the runtime for all tasks but those of calls, and installs the handlers of the signals.
fn control_runtime() -> io::Result<(Runtime, Signals)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let signals = {
        let _context = runtime.enter();
        Signals::listen()?
    };
    Ok((runtime, signals))
}

/// Runs a node with the dialect of the settings until it stops.
///
/// Calls are served on `call_runtime`, everything else on the current runtime.
async fn run(settings_file: SettingsFile, signals: Signals, call_runtime: &Handle) -> ExitCode {
    let settings = settings_file.settings().clone();
    match settings.dialect {
        DialectName::Own => {
            let starting = Node::start_with_runtime(&settings, PowerOfTwoChoices, call_runtime);
            serve(starting, settings_file, signals).await
        }
        DialectName::Platform => {
            let starting = Node::start_external::<ExternalPlatform>(&settings, ZoneFirst, call_runtime);
            serve(starting, settings_file, signals).await
        }
    }
}

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully, also if the signal came before the start.
///
/// SIGHUP reloads the settings file. While the node stops, the end of its shutdown timeout or a second SIGINT
/// aborts the calls in flight; other signals and changes of the settings file have no effect.
async fn serve<P>(
    starting: impl Future<Output = Result<Node<P>, NodeError>>,
    mut settings_file: SettingsFile,
    mut signals: Signals,
) -> ExitCode
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    let mut node = match starting.await {
        Ok(node) => node,
        Err(error) => {
            eprintln!(
                "error: {error}: {}",
                std::error::Error::source(&error).map_or_else(String::new, ToString::to_string)
            );
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let addrs = node.addrs();
    println!(
        "ready ingress={} peer={} announce={} admin={}",
        addrs.ingress, addrs.peer, addrs.announce, addrs.admin
    );
    let stop_signal = loop {
        tokio::select! {
            received = signals.recv() => match received {
                ReceivedSignal::Hangup => settings_file.reload_if_changed("signal"),
                ReceivedSignal::Terminate | ReceivedSignal::Interrupt => break received,
            },
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => settings_file.reload_if_changed("file"),
        }
        node.set_stop_limits(settings_file.stop_limits());
    };
    // The platform kills the process by the bounds that the file holds now.
    settings_file.reload_if_changed("stop");
    node.set_stop_limits(settings_file.stop_limits());
    log_event!(Info, "stopping", signal = stop_signal, second_sigint = "cuts calls in flight short");
    let calls_in_flight = node.in_flight_counter();
    tokio::select! {
        shutdown = node.stop() => {
            if shutdown.callers_finished && shutdown.peers_finished {
                return ExitCode::SUCCESS;
            }
            log_aborted_calls("the shutdown timeout", shutdown.in_flight);
        }
        () = signals.second_interrupt() => log_aborted_calls("a second SIGINT", calls_in_flight.in_flight()),
    }
    ExitCode::from(EXIT_CALLS_ABORTED)
}

/// Logs how many calls in flight a stop aborted.
fn log_aborted_calls(cause: &'static str, aborted: InFlightCounts) {
    log_event!(
        Error,
        "calls were cut short",
        by = cause,
        of_callers = aborted.of_callers,
        running = aborted.running,
        queued = aborted.queued,
    );
}

/// Prints every problem of a settings file to standard error.
fn print_settings_error(path: &Path, error: &JsonError) {
    eprintln!("error: {}: {error}", path.display());
    for problem in error.problems() {
        eprintln!("  {}: {}", problem.field, problem.problem);
    }
    eprintln!("hint: `yuccatrayd --print-defaults` shows every setting with its default");
}

/// Installs the logger, which writes to standard output without blocking the node.
fn start_log(level: LogLevel) {
    let config = ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("yuccatray").build();
    // The logger itself filters nothing: a reload of the settings may change the maximum level at run time.
    let initialized =
        NonBlockingLogWriter::new(std::io::stdout()).map_err(|error| error.to_string()).and_then(|writer| {
            WriteLogger::init(LevelFilter::Trace, config, writer).map_err(|error| error.to_string())
        });
    if let Err(error) = initialized {
        eprintln!("warning: logging is disabled: {error}");
    }
    log::set_max_level(level_filter(level));
}
