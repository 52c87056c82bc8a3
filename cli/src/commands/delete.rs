//! Deletes an object.

use clap::Args;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::parse_kind;

/// Deletes an object, on condition that nobody changed it meanwhile.
#[derive(Debug, Args)]
pub struct DeleteArgs {
    /// Kind of the object.
    kind: String,
    /// Name of the object.
    name: String,
}

/// Runs `yuccactl delete`.
pub async fn cmd_delete(context: &CommandContext, args: &DeleteArgs) -> Result<()> {
    let kind = parse_kind(&args.kind)?;
    let current = context.platform.get(kind, &args.name).await?;
    let current =
        current.ok_or_else(|| CliError::NotFound { kind: kind.to_string(), name: args.name.clone() })?;
    context.platform.delete(kind, &args.name, current.version).await?;
    println!("{kind}/{} deleted", args.name);
    Ok(())
}
