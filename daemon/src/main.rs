//! The yuccatray node, one beside each upstream.

mod reload;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::WriteLogger;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
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
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::log_writer::NonBlockingLogWriter;
use yuccatray_platform::UsersPlatform;

use crate::reload::SettingsFile;
use crate::reload::level_filter;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(2);
/// The node could not start.
const EXIT_FAILED: u8 = 1;
/// The settings are wrong.
const EXIT_SETTINGS: u8 = 2;
/// The shutdown cut calls in flight short.
const EXIT_CUT_SHORT: u8 = 3;

/// The yuccatray node, one beside each upstream.
#[derive(Debug, Parser)]
#[command(name = "yuccatrayd", version)]
struct Args {
    /// Settings file: JSON with comments.
    #[arg(long, env = "YUCCATRAY_SETTINGS", required_unless_present = "print_defaults")]
    settings: Option<PathBuf>,
    /// Check the settings and stop.
    #[arg(long)]
    check: bool,
    /// Print example settings with every default, and stop.
    #[arg(long)]
    print_defaults: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let Some(path) = args.settings.filter(|_| !args.print_defaults) else {
        print!("{}", include_str!("../../examples/settings.jsonc"));
        return ExitCode::SUCCESS;
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            report(&path, &error);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    start_log(settings.log.level);
    let threads = settings.process.worker_threads as usize;
    let control = Builder::new_current_thread().enable_all().build();
    let calls = Builder::new_multi_thread().worker_threads(threads).thread_name("calls").enable_all().build();
    match (control, calls) {
        (Ok(control), Ok(calls)) => {
            let code = control.block_on(run(path, settings, calls.handle()));
            calls.shutdown_background();
            code
        }
        (Err(error), _) | (_, Err(error)) => {
            eprintln!("error: cannot start {threads} threads: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn run(path: PathBuf, settings: Settings, calls: &Handle) -> ExitCode {
    let file = SettingsFile::new(path, settings.clone());
    match settings.dialect {
        DialectName::Own => serve(Node::start_with_runtime(&settings, PowerOfTwoChoices, calls), file).await,
        DialectName::Platform => {
            serve(Node::start_external::<UsersPlatform>(&settings, ZoneFirst, calls), file).await
        }
    }
}

/// Runs a node until it is told to stop.
async fn serve<P>(
    starting: impl Future<Output = Result<Node<P>, NodeError>>,
    mut file: SettingsFile,
) -> ExitCode
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()))
    else {
        eprintln!("error: cannot listen for signals");
        return ExitCode::from(EXIT_FAILED);
    };
    let node = match starting.await {
        Ok(node) => node,
        Err(error) => {
            eprintln!(
                "error: {error}: {}",
                std::error::Error::source(&error).map_or_else(String::new, ToString::to_string)
            );
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let addrs = node.addrs();
    println!(
        "ready ingress={} peer={} announce={} admin={}",
        addrs.ingress, addrs.peer, addrs.announce, addrs.admin
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => file.check("signal"),
            () = tokio::time::sleep(SETTINGS_CHECK) => file.check("file"),
        }
    }
    log_event!(Info, "stopping", second_signal = "cuts calls in flight short");
    let counter = node.in_flight_counter();
    tokio::select! {
        shutdown = node.stop() => {
            if shutdown.callers_finished && shutdown.peers_finished {
                return ExitCode::SUCCESS;
            }
            say_cut("the shutdown timeout", shutdown.in_flight);
        }
        _ = terminate.recv() => say_cut("a second signal", counter.in_flight()),
        _ = interrupt.recv() => say_cut("a second signal", counter.in_flight()),
    }
    ExitCode::from(EXIT_CUT_SHORT)
}

fn say_cut(cause: &'static str, in_flight: InFlightCounts) {
    log_event!(
        Error,
        "calls were cut short",
        by = cause,
        of_callers = in_flight.of_callers,
        running = in_flight.running,
        queued = in_flight.queued,
    );
}

fn report(path: &std::path::Path, error: &JsonError) {
    eprintln!("error: {}: {error}", path.display());
    for problem in error.problems() {
        eprintln!("  {}: {}", problem.field, problem.problem);
    }
    eprintln!("hint: `yuccatrayd --print-defaults` shows every setting with its default");
}

fn start_log(level: LogLevel) {
    let config = ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("yuccatray").build();
    // The logger lets everything through; the level in force may change while the node runs.
    let started =
        NonBlockingLogWriter::new(std::io::stdout()).map_err(|error| error.to_string()).and_then(|writer| {
            WriteLogger::init(LevelFilter::Trace, config, writer).map_err(|error| error.to_string())
        });
    if let Err(error) = started {
        eprintln!("warning: nothing will be logged: {error}");
    }
    log::set_max_level(level_filter(level));
}
