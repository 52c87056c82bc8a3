//! What an ingress wants of a call that it asks about over a new connection.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// What is to become of a call that was sent over another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolveRequest {
    /// Wait for its answer, or fence it when it was never seen.
    Attach,
    /// Give it up: nobody waits for it any more.
    Cancel,
}

/// The text names no wish.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("neither attach nor cancel"))]
pub struct UnknownWish;

impl fmt::Display for ResolveRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Attach => "attach",
            Self::Cancel => "cancel",
        })
    }
}

impl FromStr for ResolveRequest {
    type Err = UnknownWish;

    fn from_str(text: &str) -> Result<Self, UnknownWish> {
        match text {
            "attach" => Ok(Self::Attach),
            "cancel" => Ok(Self::Cancel),
            _ => UnknownWishSnafu.fail(),
        }
    }
}
