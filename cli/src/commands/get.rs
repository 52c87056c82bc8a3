//! Shows one object.

use clap::Args;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::existing;
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
    print_json(&existing(context, kind, &args.name).await?);
    Ok(())
}
