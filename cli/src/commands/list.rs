//! `yuccactl list`: lists the objects of a kind.

use clap::Args;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::parse_kind;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::output::print_table;

/// Lists the objects of a kind with their versions.
#[derive(Debug, Args)]
pub struct ListArgs {
    /// Kind of the objects.
    kind: String,
}

/// Runs `yuccactl list`.
pub async fn cmd_list(context: &CommandContext, args: &ListArgs) -> Result<()> {
    let listing = context.platform.list(parse_kind(&args.kind)?).await?;
    if context.output == OutputFormat::Json {
        print_json(&listing.objects);
        return Ok(());
    }
    let rows = listing.objects.iter().map(|object| vec![object.name.to_string(), object.version.to_string()]);
    print_table(&["NAME", "VERSION"], rows.collect());
    Ok(())
}
