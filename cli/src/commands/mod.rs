//! The commands, one module for each, and the helpers that they share.

pub mod apply;
pub mod completions;
pub mod delete;
pub mod describe;
pub mod drain;
pub mod explain;
mod explain_text;
pub mod get;
pub mod list;
pub mod nodes;
pub mod top;
pub mod trace;
pub mod version;
pub mod wait;
pub mod watch;

use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Reads an object, or fails with [`CliError::NotFound`] if it does not exist.
pub async fn get_existing(context: &CommandContext, kind: ObjectKind, name: &str) -> Result<Object> {
    let object = context.platform.get(kind, name).await?;
    object.ok_or_else(|| CliError::NotFound { kind: kind.to_string(), name: name.to_owned() })
}

/// Parses the name of an object kind, or fails with [`CliError::Usage`] if there is no such kind.
pub fn parse_kind(name: &str) -> Result<ObjectKind> {
    ObjectKind::from_name(name).ok_or_else(|| {
        let kind_names: Vec<&str> = ObjectKind::ALL.iter().map(|kind| kind.name()).collect();
        CliError::Usage {
            message: format!("unknown kind {name:?}"),
            hint: format!("the kinds are {}", kind_names.join(", ")),
        }
    })
}
