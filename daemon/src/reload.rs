//! Reloads the settings file while the node runs.
//!
//! Changes of the `log` section and of the limits of a stop take effect at once; other changes need a restart.

use std::path::PathBuf;
use std::sync::Arc;

use log::LevelFilter;
use serde_json::Value;
use yuccatray::log_event;
use yuccatray::protocol::checked_json::JsonError;
use yuccatray::protocol::checked_json::read_file;
use yuccatray::protocol::settings::LimitSettings;
use yuccatray::protocol::settings::LogLevel;
use yuccatray::protocol::settings::Settings;

use crate::node_settings::log_time_limits;
use crate::node_settings::parse;

/// Result of reading the settings file.
pub type Result<T, E = JsonError> = std::result::Result<T, E>;

/// The settings file of a running node.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Text of the file when it was last read.
    text: String,
    /// Settings in effect.
    settings: Settings,
}

impl SettingsFile {
    /// Reads and validates the file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not JSON with comments, or a field is invalid.
    pub fn load(path: PathBuf) -> Result<Self> {
        let text = read_file(&path)?;
        let settings = parse(&text)?;
        Ok(Self { path, text, settings })
    }

    /// Returns the settings in effect.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the file again and, if its text changed, applies the sections that need no restart.
    ///
    /// `cause` is logged. If the file cannot be read or is invalid, the settings in effect stay.
    pub fn reload_if_changed(&mut self, cause: &'static str) {
        let text = match read_file(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log_event!(
                    Warn,
                    "cannot read the settings, keeping the current ones",
                    cause = cause,
                    error = error
                );
                return;
            }
        };
        if text == self.text {
            log::debug!("settings unchanged; cause={cause}");
            return;
        }
        self.text = text;
        match parse(&self.text) {
            Ok(next) => self.apply(&next, cause),
            Err(error) => log_event!(
                Warn,
                "invalid settings rejected, keeping the current ones",
                cause = cause,
                error = error
            ),
        }
    }

    /// Returns the limits in effect; those of a stop follow the file.
    #[must_use]
    pub const fn stop_limits(&self) -> &LimitSettings {
        &self.settings.limits
    }

    /// Applies the changes that need no restart and logs which changed sections need one.
    fn apply(&mut self, next: &Settings, cause: &'static str) {
        let current = with_live_changes(&self.settings, next);
        log_event!(
            Info,
            "settings reloaded",
            cause = cause,
            live = changed_sections(&self.settings, &current),
            after_restart = changed_sections(&current, next),
        );
        log::set_max_level(level_filter(current.log.level));
        log_time_limits(&current);
        self.settings = current;
    }
}

/// Returns the current settings with those of `next` that take effect without a restart.
fn with_live_changes(current: &Settings, next: &Settings) -> Settings {
    let mut settings = current.clone();
    settings.log = next.log.clone();
    settings.limits.unready_notice_ms = next.limits.unready_notice_ms;
    settings.limits.shutdown_timeout_ms = next.limits.shutdown_timeout_ms;
    settings.platform.bounds = Arc::clone(&next.platform.bounds);
    settings
}

/// Returns the names of the sections that differ, joined by commas, or `nothing`.
fn changed_sections(current: &Settings, next: &Settings) -> String {
    let sections = |settings: &Settings| match serde_json::to_value(settings) {
        Ok(Value::Object(sections)) => sections,
        _ => serde_json::Map::new(),
    };
    let (current, next) = (sections(current), sections(next));
    let changed = next.iter().filter(|(name, value)| current.get(*name) != Some(*value));
    let names: Vec<&str> = changed.map(|(name, _)| name.as_str()).collect();
    if names.is_empty() { "nothing".to_owned() } else { names.join(",") }
}

/// Returns the log filter that corresponds to a level of the settings.
#[must_use]
pub const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
