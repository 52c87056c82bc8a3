//! One module a command, each with its arguments and one function.

pub mod apply;
pub mod delete;
pub mod get;
pub mod list;
pub mod nodes;
pub mod top;
pub mod trace;
pub mod wait;

use yuccatray::protocol::object::ObjectKind;

use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Reads the name of a kind as an operator writes it.
pub fn parse_kind(name: &str) -> Result<ObjectKind> {
    ObjectKind::from_name(name).ok_or_else(|| {
        let known: Vec<&str> = ObjectKind::ALL.iter().map(|kind| kind.name()).collect();
        CliError::Usage {
            message: format!("no kind named {name:?}"),
            hint: format!("the kinds are {}", known.join(", ")),
        }
    })
}
