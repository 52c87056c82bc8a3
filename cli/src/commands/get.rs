//! `yuccactl get`: shows an object as JSON.

use clap::Args;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::get_existing;
use crate::commands::parse_kind;
use crate::output::print_json;

/// Shows an object as JSON.
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
    print_json(&get_existing(context, kind, &args.name).await?);
    Ok(())
}
