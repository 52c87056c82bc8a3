//! Request by which an ingress resolves a call after losing the connection that carried it.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// Request about a call that was sent over another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolveRequest {
    /// Attach to the call and wait for its answer; a call that the gate has never received is fenced.
    Attach,
    /// Cancel the call, whose answer is no longer needed; one that the gate has never received is fenced.
    Cancel,
}

/// Error for a text that names no request.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("neither attach nor cancel"))]
pub struct UnknownResolveRequest;

impl fmt::Display for ResolveRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Attach => "attach",
            Self::Cancel => "cancel",
        })
    }
}

impl FromStr for ResolveRequest {
    type Err = UnknownResolveRequest;

    fn from_str(text: &str) -> Result<Self, UnknownResolveRequest> {
        match text {
            "attach" => Ok(Self::Attach),
            "cancel" => Ok(Self::Cancel),
            _ => UnknownResolveRequestSnafu.fail(),
        }
    }
}
