//! Errors of the commands, with their hints and exit codes.

use std::fmt::Write;

use serde_json::json;
use snafu::Snafu;
use yuccatray::protocol::checked_json::JsonError;
use yuccatray::transport::platform::PlatformError;

use crate::output::OutputFormat;

/// Result of a command.
pub type Result<T, E = CliError> = std::result::Result<T, E>;

/// Reason why a command failed.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// The arguments of the command are invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// Description of the problem.
        message: String,
        /// Suggestion for correcting it.
        hint: String,
    },
    /// A file of objects cannot be read or holds invalid objects.
    #[snafu(display("{source}"), context(false))]
    Objects {
        /// Every problem found in the file.
        source: JsonError,
    },
    /// The object does not exist.
    #[snafu(display("no {kind} named {name:?}"))]
    NotFound {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
    },
    /// No node that answered has a trace of the call.
    #[snafu(display("no node returned a trace of call {call}"))]
    TraceNotFound {
        /// Identity of the call.
        call: String,
    },
    /// Another writer changed the object first.
    #[snafu(display("{name}: another writer changed it first"))]
    Conflict {
        /// Name of the object.
        name: String,
        /// Current state of the object: its version, or that it is deleted.
        current: String,
    },
    /// The response to a write was lost, and reading the object back did not show that the write took effect.
    #[snafu(display("{name}: the response to the write was lost, and it has had no effect so far"))]
    Unconfirmed {
        /// Name of the object.
        name: String,
    },
    /// A condition did not become true within the timeout.
    #[snafu(display("timed out: {message}"))]
    Timeout {
        /// Last observed state.
        message: String,
    },
    /// A request to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Error of the platform client.
        source: PlatformError,
    },
    /// Nodes did not explain a request.
    #[snafu(display("no explanation from {failures}"))]
    NotExplained {
        /// Each node with the reason.
        failures: String,
    },
    /// A node did not return a report.
    #[snafu(display("{message}"))]
    Node {
        /// Description of the failure.
        message: String,
    },
}

impl CliError {
    /// Returns the exit code of the command.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Platform { .. } | Self::Node { .. } | Self::NotExplained { .. } => 1,
            Self::Usage { .. } | Self::Objects { .. } => 2,
            Self::NotFound { .. } | Self::TraceNotFound { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Timeout { .. } => 5,
            Self::Unconfirmed { .. } => 6,
        }
    }

    /// Returns the text for standard error: lines for people, or one JSON object.
    pub fn report(&self, format: OutputFormat) -> String {
        if format == OutputFormat::Json {
            return format!("{}\n", self.as_json());
        }
        let mut text = format!("error: {self}\n");
        if let Self::Objects { source } = self {
            for problem in source.problems() {
                // Writing to a string cannot fail.
                let _result = writeln!(text, "  {}: {}", problem.field, problem.problem);
            }
        }
        if let Some(hint) = self.hint() {
            let _result = writeln!(text, "hint: {hint}");
        }
        text
    }

    /// Returns the error as a JSON object for programs.
    fn as_json(&self) -> serde_json::Value {
        let problems = match self {
            Self::Objects { source } => source.problems(),
            _ => &[],
        };
        let (error, exit_code) = (self.to_string(), self.exit_code());
        json!({ "error": error, "exit_code": exit_code, "problems": problems, "hint": self.hint() })
    }

    /// Returns a suggestion for the operator, if there is one.
    fn hint(&self) -> Option<String> {
        match self {
            Self::Usage { hint, .. } => Some(hint.clone()),
            Self::Conflict { current, .. } => {
                Some(format!("it is now {current}; get it again, then repeat the command"))
            }
            Self::Unconfirmed { .. } => Some(
                "run the same command again: it writes only if the object has not changed in the meantime"
                    .to_owned(),
            ),
            Self::NotFound { kind, .. } => Some(format!("`yuccactl list {kind}` lists the existing objects")),
            Self::Node { .. } => {
                Some("check that --node (or YUCCATRAY_NODE) is the admin address of a node".to_owned())
            }
            Self::Platform { source: PlatformError::NoResponse { .. } } => Some(
                "check that --platform (or YUCCATRAY_PLATFORM) is the address of the object API".to_owned(),
            ),
            _ => None,
        }
    }
}
