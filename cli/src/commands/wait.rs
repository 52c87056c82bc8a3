//! Waits until a service's configuration is applied.

use std::time::Duration;

use clap::Args;
use clap::ValueEnum;
use tokio::time::Instant;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::output::OutputFormat;
use crate::output::print_json;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Condition {
    /// The latest version was accepted and published.
    Accepted,
    /// Every known node has applied it.
    Applied,
    /// It is applied and an upstream takes work.
    Ready,
}

/// Waits until a service's status says what is asked for.
#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Name of the service.
    service: String,
    /// What to wait for.
    #[arg(long = "for", value_enum, default_value_t = Condition::Applied)]
    condition: Condition,
    /// How long to wait, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    timeout_ms: u64,
}

/// Runs `yuccactl wait`.
pub async fn cmd_wait(context: &CommandContext, args: &WaitArgs) -> Result<()> {
    let until = Instant::now() + Duration::from_millis(args.timeout_ms);
    loop {
        let status = match current_status(context, &args.service).await {
            // The platform may be back before the time is up.
            Err(CliError::Platform { .. }) if Instant::now() < until => None,
            status => status?,
        };
        if let Some(status) = status.as_ref().filter(|status| holds(args.condition, status)) {
            if context.output == OutputFormat::Json {
                print_json(status);
            } else {
                println!("Service/{} revision {}", args.service, status.revision.unwrap_or_default());
            }
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(CliError::Timeout { message: explain(&args.service, status.as_ref()) });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The status of the latest version, or nothing while it has none.
async fn current_status(context: &CommandContext, service: &str) -> Result<Option<ServiceStatus>> {
    let object = context.platform.get(ObjectKind::Service, service).await?;
    let object = object.ok_or_else(|| CliError::NotFound {
        kind: ObjectKind::Service.to_string(),
        name: service.to_owned(),
    })?;
    let status = context.platform.get(ObjectKind::ServiceStatus, service).await?;
    let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
    Ok(status.filter(|status| status.observed_version == object.version))
}

const fn holds(condition: Condition, status: &ServiceStatus) -> bool {
    match condition {
        Condition::Accepted => status.accepted,
        Condition::Applied => status.accepted && status.applied,
        Condition::Ready => status.accepted && status.applied && status.ready_upstreams > 0,
    }
}

fn explain(service: &str, status: Option<&ServiceStatus>) -> String {
    let Some(status) = status else {
        return format!("nothing is known of the latest version of Service/{service}");
    };
    if !status.accepted {
        let problems: Vec<String> =
            status.problems.iter().map(|found| format!("{}: {}", found.field, found.problem)).collect();
        return format!("Service/{service} was refused: {}", problems.join("; "));
    }
    format!(
        "Service/{service} is applied on {} of {} nodes and has {} ready upstreams",
        status.applied_nodes, status.known_nodes, status.ready_upstreams
    )
}
