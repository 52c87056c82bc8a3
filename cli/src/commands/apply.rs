//! `yuccactl apply`: writes the objects of a file.

use std::path::PathBuf;

use clap::Args;
use yuccatray::coordination::manifest::Manifest;
use yuccatray::coordination::manifest::load_manifests;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::confirmed_write::put_confirmed;
use crate::output::OutputFormat;
use crate::output::print_json;

/// Creates or updates the objects of a file, each only if it has not changed since it was read.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// File with one object or a list of objects, in JSON with comments.
    #[arg(long, short)]
    file: PathBuf,
    /// Validate the objects and compare them with the current ones, but write nothing.
    #[arg(long)]
    dry_run: bool,
    /// Write only if the object has this version; 0 means that it must not exist.
    #[arg(long)]
    expect_version: Option<u64>,
}

/// Runs `yuccactl apply`.
pub async fn cmd_apply(context: &CommandContext, args: &ApplyArgs) -> Result<()> {
    let manifests = load_manifests(&args.file)?;
    if args.expect_version.is_some() && manifests.len() != 1 {
        return Err(CliError::Usage {
            message: format!(
                "--expect-version needs a file with one object, but this file has {}",
                manifests.len()
            ),
            hint: "put each object in a file of its own and pass the version that `yuccactl get` shows"
                .to_owned(),
        });
    }
    let mut outcomes = Vec::new();
    for manifest in &manifests {
        let Some(kind) = manifest.writable_kind() else {
            continue;
        };
        let outcome = apply_one(context, kind, manifest, args).await?;
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

/// Writes one object if its value differs, and returns the outcome to print.
async fn apply_one(
    context: &CommandContext,
    kind: ObjectKind,
    manifest: &Manifest,
    args: &ApplyArgs,
) -> Result<&'static str> {
    let current = context.platform.get(kind, &manifest.name).await?;
    let version = current.as_ref().map_or(0, |current| current.version);
    if args.expect_version.is_some_and(|expected| expected != version) {
        return Err(CliError::Conflict {
            name: format!("{kind}/{}", manifest.name),
            current: format!("at version {version}"),
        });
    }
    if current.as_ref().is_some_and(|current| current.value == manifest.spec) {
        return Ok("unchanged");
    }
    let outcome = if current.is_some() { "changed" } else { "created" };
    if args.dry_run {
        return Ok(outcome);
    }
    let precondition = current.map_or(Precondition::Absent, |current| Precondition::Version(current.version));
    put_confirmed(&context.platform, kind, &manifest.name, &manifest.spec, precondition).await?;
    Ok(outcome)
}
