//! `yuccactl version`: prints the version.

use crate::CommandContext;
use crate::output::OutputFormat;
use crate::output::print_json;

const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Runs `yuccactl version`.
pub fn cmd_version(context: &CommandContext) {
    if context.output == OutputFormat::Json {
        print_json(&serde_json::json!({ "yuccactl": VERSION }));
        return;
    }
    println!("yuccactl {VERSION}");
}
