//! `yuccactl`, the command-line tool for operators of a yuccatray fleet.

mod cli_error;
mod commands;
mod confirmed_write;
mod node_client;
mod output;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::CommandFactory;
use clap::Parser;
use clap::Subcommand;
use yuccatray::transport::platform_http::HttpPlatform;

use crate::cli_error::Result;
use crate::commands::apply;
use crate::commands::completions;
use crate::commands::delete;
use crate::commands::describe;
use crate::commands::drain;
use crate::commands::explain;
use crate::commands::get;
use crate::commands::list;
use crate::commands::nodes;
use crate::commands::top;
use crate::commands::trace;
use crate::commands::version;
use crate::commands::wait;
use crate::commands::watch;
use crate::output::OutputFormat;

/// Configures and inspects a yuccatray fleet.
#[derive(Debug, Parser)]
#[command(name = "yuccactl", version)]
struct Args {
    #[command(flatten)]
    global: GlobalArgs,
    #[command(subcommand)]
    command: Command,
}

/// Options that every command accepts.
#[derive(Debug, clap::Args)]
struct GlobalArgs {
    /// Address of the platform's object API.
    #[arg(long, global = true, env = "YUCCATRAY_PLATFORM", default_value = "127.0.0.1:7800")]
    platform: SocketAddr,
    /// Output format.
    #[arg(long, short, global = true, value_enum, default_value_t = OutputFormat::Table)]
    output: OutputFormat,
    /// Timeout of one request to the platform or to a node, in milliseconds.
    #[arg(long, global = true, default_value_t = 5_000)]
    request_timeout_ms: u64,
}

/// The commands with their arguments.
#[derive(Debug, Subcommand)]
enum Command {
    Apply(apply::ApplyArgs),
    Completions(completions::CompletionsArgs),
    Delete(delete::DeleteArgs),
    Describe(describe::DescribeArgs),
    Drain(drain::DrainArgs),
    Explain(explain::ExplainArgs),
    Get(get::GetArgs),
    List(list::ListArgs),
    Nodes(nodes::NodesArgs),
    /// Prints the version.
    Version,
    Top(top::TopArgs),
    Trace(trace::TraceArgs),
    Wait(wait::WaitArgs),
    Watch(watch::WatchArgs),
}

/// Platform client and global options that every command uses.
#[derive(Debug)]
struct CommandContext {
    platform: HttpPlatform,
    /// Timeout of one request to the platform or to a node.
    request_timeout: Duration,
    output: OutputFormat,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let request_timeout = Duration::from_millis(args.global.request_timeout_ms);
    let context = CommandContext {
        platform: HttpPlatform::new(args.global.platform, request_timeout),
        request_timeout,
        output: args.global.output,
    };
    match run(&context, &args.command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprint!("{}", error.report(context.output));
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the command.
async fn run(context: &CommandContext, command: &Command) -> Result<()> {
    match command {
        Command::Apply(args) => apply::cmd_apply(context, args).await,
        Command::Completions(args) => {
            completions::cmd_completions(args, Args::command());
            Ok(())
        }
        Command::Delete(args) => delete::cmd_delete(context, args).await,
        Command::Describe(args) => describe::cmd_describe(context, args).await,
        Command::Drain(args) => drain::cmd_drain(context, args).await,
        Command::Explain(args) => explain::cmd_explain(context, args).await,
        Command::Get(args) => get::cmd_get(context, args).await,
        Command::List(args) => list::cmd_list(context, args).await,
        Command::Nodes(args) => nodes::cmd_nodes(context, args).await,
        Command::Version => {
            version::cmd_version(context);
            Ok(())
        }
        Command::Top(args) => top::cmd_top(context, args).await,
        Command::Trace(args) => trace::cmd_trace(context, args).await,
        Command::Wait(args) => wait::cmd_wait(context, args).await,
        Command::Watch(args) => watch::cmd_watch(context, args).await,
    }
}
