//! Settings of a node with the time limits that follow from the bounds of its deployment.

use std::path::Path;

use yuccatray::log_event;
use yuccatray::node::apply_bounds;
use yuccatray::protocol::checked_json::JsonError;
use yuccatray::protocol::checked_json::Result;
use yuccatray::protocol::checked_json::read_file;
use yuccatray::protocol::published::FieldProblem;
use yuccatray::protocol::settings::DialectName;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::external_dialect::ExternalDialect;
use yuccatray_platform::ExternalPlatform;

/// Reads the settings in a file and applies the bounds of the deployment to them.
///
/// # Errors
///
/// When the file can't be read or the settings are invalid.
pub fn load(path: &Path) -> Result<Settings> {
    parse(&read_file(path)?)
}

/// Parses settings and applies the bounds of the deployment to them.
///
/// # Errors
///
/// When the text is not JSON with comments, or a field or a bound is invalid.
pub fn parse(text: &str) -> Result<Settings> {
    let mut settings = Settings::parse(text)?;
    if settings.dialect == DialectName::Platform {
        let bounds = ExternalPlatform::parse_bounds(&settings.platform.bounds);
        let bounds = bounds.map_err(|problem| JsonError::Problems {
            problems: vec![FieldProblem { field: "/platform/bounds".to_owned(), problem }],
        })?;
        apply_bounds(&mut settings, &bounds);
    }
    Ok(settings)
}

/// Logs the time limits in effect and the bounds that they follow from.
pub fn log_time_limits(settings: &Settings) {
    log_event!(
        Info,
        "time limits",
        bounds = &settings.platform.bounds,
        shutdown_timeout_ms = settings.limits.shutdown_timeout_ms,
        unready_notice_ms = settings.limits.unready_notice_ms,
        watch_wait_ms = settings.platform.watch_wait_ms,
    );
}
