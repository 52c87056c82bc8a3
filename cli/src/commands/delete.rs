//! `yuccactl delete`: deletes an object.

use clap::Args;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::get_existing;
use crate::commands::parse_kind;
use crate::confirmed_write::delete_confirmed;
use crate::output::OutputFormat;
use crate::output::print_json;

/// Deletes an object, only if it has not changed since it was read.
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
    let current = get_existing(context, kind, &args.name).await?;
    delete_confirmed(&context.platform, kind, &args.name, current.version).await?;
    if context.output == OutputFormat::Json {
        print_json(&serde_json::json!({ "kind": kind, "name": args.name, "outcome": "deleted" }));
        return Ok(());
    }
    println!("{kind}/{} deleted", args.name);
    Ok(())
}
