//! Writes the objects of a file.

use std::path::PathBuf;

use clap::Args;
use yuccatray::coordination::manifest::Manifest;
use yuccatray::coordination::manifest::load_manifests;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::output::OutputFormat;
use crate::output::print_json;

/// Writes the objects of a file, each on condition that nobody changed it meanwhile.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// File with one object or a list of them: JSON with comments.
    #[arg(long, short)]
    file: PathBuf,
    /// Check and compare, but write nothing.
    #[arg(long)]
    dry_run: bool,
}

/// Runs `yuccactl apply`.
pub async fn cmd_apply(context: &CommandContext, args: &ApplyArgs) -> Result<()> {
    let manifests = load_manifests(&args.file)?;
    let mut outcomes = Vec::new();
    for manifest in &manifests {
        let Some(kind) = manifest.object_kind() else {
            continue;
        };
        let outcome = apply_one(context, kind, manifest, args.dry_run).await?;
        if context.output == OutputFormat::Table {
            println!("{}/{} {outcome}", kind, manifest.name);
        }
        outcomes.push(serde_json::json!({ "kind": kind, "name": manifest.name, "outcome": outcome }));
    }
    if context.output == OutputFormat::Json {
        print_json(&outcomes);
    }
    Ok(())
}

async fn apply_one(
    context: &CommandContext,
    kind: ObjectKind,
    manifest: &Manifest,
    dry_run: bool,
) -> Result<&'static str> {
    let current = context.platform.get(kind, &manifest.name).await?;
    if current.as_ref().is_some_and(|current| current.value == manifest.spec) {
        return Ok("unchanged");
    }
    let outcome = if current.is_some() { "changed" } else { "created" };
    if dry_run {
        return Ok(outcome);
    }
    let precondition = current.map_or(Precondition::Absent, |current| Precondition::Version(current.version));
    let written = context.platform.put(kind, &manifest.name, &manifest.spec, precondition).await;
    match written {
        Ok(_) => Ok(outcome),
        Err(PlatformError::Conflict { current }) => Err(CliError::Conflict {
            name: format!("{kind}/{}", manifest.name),
            current: current
                .map_or_else(|| "deleted".to_owned(), |current| format!("at version {}", current.version)),
        }),
        Err(error) => Err(error.into()),
    }
}
