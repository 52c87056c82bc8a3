//! Runs an experiment and compares its policy variants.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use indexmap::IndexMap;
use snafu::ResultExt;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::embedded_fleet::WriteResultsSnafu;
use yuccatray_load::experiment::Experiment;
use yuccatray_load::experiment_report::Report;
use yuccatray_load::experiment_run::run_variant;

use crate::commands::fleet::read_priorities;

/// Runs an experiment and compares its policy variants.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// Experiment file: JSON with comments.
    experiment: PathBuf,
    /// Names of the variants to run; all by default.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// File to which the results are also written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs `yuccatray-load experiment`.
pub async fn cmd_experiment(args: &ExperimentArgs) -> Result<()> {
    let experiment = Experiment::load(&args.experiment).inspect_err(|error| {
        for field_error in error.problems() {
            eprintln!("  {}: {}", field_error.field, field_error.problem);
        }
    })?;
    let directory = args.experiment.parent().unwrap_or_else(|| Path::new("."));
    let objectives: IndexMap<Arc<str>, Duration> =
        read_priorities(&directory.join(experiment.deployment.objects.as_ref()))?
            .into_iter()
            .map(|(name, spec)| (name, Duration::from_millis(spec.objective_ms)))
            .collect();
    let mut outcomes = Vec::new();
    for variant in &experiment.policies {
        let is_selected = args.only.is_empty() || args.only.iter().any(|name| *name == *variant.name);
        if is_selected {
            outcomes.push(run_variant(&experiment, directory, variant, &objectives).await?);
        }
    }
    let report = Report::new(&experiment, &outcomes);
    println!("{}", report.render());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        std::fs::write(path, text).context(WriteResultsSnafu)?;
    }
    Ok(())
}
