//! Errors as a person reads them, with hints, and the exit code of each.

use std::fmt::Write;

use serde_json::json;
use snafu::Snafu;
use yuccatray::protocol::checked_json::JsonError;
use yuccatray::transport::platform::PlatformError;

use crate::output::OutputFormat;

/// Result of a command.
pub type Result<T, E = CliError> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// The command's words or its file are wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
        /// What would help.
        hint: String,
    },
    /// The objects in a file are wrong.
    #[snafu(display("{source}"), context(false))]
    Objects {
        /// Every fault found.
        source: JsonError,
    },
    /// The object named does not exist.
    #[snafu(display("no {kind} named {name:?}"))]
    NotFound {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
    },
    /// Somebody else changed the object first.
    #[snafu(display("{name}: somebody else changed it first"))]
    Conflict {
        /// Name of the object.
        name: String,
        /// What it is now.
        current: String,
    },
    /// The answer to a write was lost, and reading back did not show that it took effect.
    #[snafu(display("{name}: the answer to the write was lost, and it shows no effect so far"))]
    Unsettled {
        /// Name of the object.
        name: String,
    },
    /// The condition did not come true in time.
    #[snafu(display("timed out: {message}"))]
    Timeout {
        /// What was seen last.
        message: String,
    },
    /// The platform did not do what was asked.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// What it said.
        source: PlatformError,
    },
    /// A node did not answer.
    #[snafu(display("{message}"))]
    Node {
        /// What went wrong.
        message: String,
    },
}

impl CliError {
    /// The exit code of a failed command.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Platform { .. } | Self::Node { .. } => 1,
            Self::Usage { .. } | Self::Objects { .. } => 2,
            Self::NotFound { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Timeout { .. } => 5,
            Self::Unsettled { .. } => 6,
        }
    }

    /// The whole text for standard error.
    pub fn report(&self, format: OutputFormat) -> String {
        if format == OutputFormat::Json {
            return format!("{}\n", self.as_json());
        }
        let mut text = format!("error: {self}\n");
        if let Self::Objects { source } = self {
            for found in source.problems() {
                // Writing to a string does not fail.
                let _written = writeln!(text, "  {}: {}", found.field, found.problem);
            }
        }
        if let Some(hint) = self.hint() {
            let _written = writeln!(text, "hint: {hint}");
        }
        text
    }

    fn as_json(&self) -> serde_json::Value {
        let problems = match self {
            Self::Objects { source } => source.problems(),
            _ => &[],
        };
        let (error, exit_code) = (self.to_string(), self.exit_code());
        json!({ "error": error, "exit_code": exit_code, "problems": problems, "hint": self.hint() })
    }

    fn hint(&self) -> Option<String> {
        match self {
            Self::Usage { hint, .. } => Some(hint.clone()),
            Self::Conflict { current, .. } => {
                Some(format!("it is now {current}; read it again, then apply again"))
            }
            Self::Unsettled { .. } => Some(
                "run the same command again: it writes only if nobody changed the object meanwhile"
                    .to_owned(),
            ),
            Self::NotFound { kind, .. } => Some(format!("`yuccactl list {kind}` shows what there is")),
            Self::Node { .. } => {
                Some("is --node (or YUCCATRAY_NODE) the admin address of a node?".to_owned())
            }
            Self::Platform { source: PlatformError::NoAnswer { .. } } => {
                Some("is --platform (or YUCCATRAY_PLATFORM) the address of the object API?".to_owned())
            }
            _ => None,
        }
    }
}
