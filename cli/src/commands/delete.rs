//! Deletes an object.

use clap::Args;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::existing;
use crate::commands::parse_kind;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::settled::delete_settled;

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
    let current = existing(context, kind, &args.name).await?;
    delete_settled(&context.platform, kind, &args.name, current.version).await?;
    if context.output == OutputFormat::Json {
        print_json(&serde_json::json!({ "kind": kind, "name": args.name, "outcome": "deleted" }));
        return Ok(());
    }
    println!("{kind}/{} deleted", args.name);
    Ok(())
}
