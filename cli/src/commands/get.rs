//! Shows one object.

use clap::Args;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::commands::parse_kind;
use crate::output::print_json;

/// Shows one object as JSON.
#[derive(Debug, Args)]
pub struct GetArgs {
    /// Kind of the object.
    kind: String,
    /// Name of the object.
    name: String,
}

/// Runs `yuccactl get`.
pub async fn cmd_get(context: &CommandContext, args: &GetArgs) -> Result<()> {
    let kind = parse_kind(&args.kind)?;
    let object = context.platform.get(kind, &args.name).await?;
    let object =
        object.ok_or_else(|| CliError::NotFound { kind: kind.to_string(), name: args.name.clone() })?;
    print_json(&object);
    Ok(())
}
