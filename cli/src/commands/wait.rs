//! `yuccactl wait`: waits until the configuration of a service is accepted, applied or ready.

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

/// Interval between two reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Condition to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Condition {
    /// The latest version was accepted and published.
    Accepted,
    /// Every known node has applied the latest version.
    Applied,
    /// Every known node has applied the latest version, and at least one upstream is ready.
    Ready,
}

/// Waits until the latest version of a service meets a condition.
#[derive(Debug, Args)]
pub struct WaitArgs {
    /// Name of the service.
    service: String,
    /// Condition to wait for.
    #[arg(long = "for", value_enum, default_value_t = Condition::Applied)]
    condition: Condition,
    /// Maximum time to wait, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    timeout_ms: u64,
}

/// Runs `yuccactl wait`.
pub async fn cmd_wait(context: &CommandContext, args: &WaitArgs) -> Result<()> {
    let deadline = Instant::now() + Duration::from_millis(args.timeout_ms);
    loop {
        let status = match current_status(context, &args.service).await {
            // The platform may recover before the deadline.
            Err(CliError::Platform { .. }) if Instant::now() < deadline => None,
            status => status?,
        };
        if let Some(status) = status.as_ref().filter(|status| is_met(args.condition, status)) {
            if context.output == OutputFormat::Json {
                print_json(status);
            } else {
                println!("Service/{} revision {}", args.service, status.revision.unwrap_or_default());
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CliError::Timeout { message: describe_status(&args.service, status.as_ref()) });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the status of the latest version of the service, or `None` if it has no status yet.
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

/// Returns whether the status meets the condition.
const fn is_met(condition: Condition, status: &ServiceStatus) -> bool {
    match condition {
        Condition::Accepted => status.accepted,
        Condition::Applied => status.accepted && status.applied,
        Condition::Ready => status.accepted && status.applied && status.ready_upstreams > 0,
    }
}

/// Describes the last status for the message of a timeout.
fn describe_status(service: &str, status: Option<&ServiceStatus>) -> String {
    let Some(status) = status else {
        return format!("the latest version of Service/{service} has no status yet");
    };
    if !status.accepted {
        let problems: Vec<String> =
            status.problems.iter().map(|problem| format!("{}: {}", problem.field, problem.problem)).collect();
        return format!("Service/{service} was rejected: {}", problems.join("; "));
    }
    format!(
        "Service/{service} is applied on {} of {} nodes and has {} ready upstreams",
        status.applied_nodes, status.known_nodes, status.ready_upstreams
    )
}
