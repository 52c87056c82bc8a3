//! `yuccactl completions`: prints completions for a shell.

use clap::Args;
use clap::Command;
use clap_complete::Shell;

/// Prints the completion script for a shell.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// Shell that runs the script.
    #[arg(value_enum)]
    shell: Shell,
}

/// Runs `yuccactl completions`.
pub fn cmd_completions(args: &CompletionsArgs, mut command: Command) {
    clap_complete::generate(args.shell, &mut command, "yuccactl", &mut std::io::stdout());
}
