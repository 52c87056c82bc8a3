//! Following the settings file while the node runs.

use std::path::PathBuf;

use log::LevelFilter;
use serde_json::Value;
use yuccatray::log_event;
use yuccatray::protocol::checked_json::read_text;
use yuccatray::protocol::settings::LogLevel;
use yuccatray::protocol::settings::Settings;

/// The settings file, and what of it is in force.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    settings: Settings,
}

impl SettingsFile {
    /// The file that the settings in force were read from.
    #[must_use]
    pub fn new(path: PathBuf, settings: Settings) -> Self {
        let text = read_text(&path).unwrap_or_default();
        Self { path, text, settings }
    }

    /// Reads the file again, applies what can change live and says what can't.
    pub fn check(&mut self, cause: &'static str) {
        let text = match read_text(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log_event!(Warn, "settings not read, going on", cause = cause, error = error);
                return;
            }
        };
        if text == self.text {
            log::debug!("settings unchanged; cause={cause}");
            return;
        }
        self.text = text;
        match Settings::parse(&self.text) {
            Ok(next) => self.apply(next, cause),
            Err(error) => log_event!(Warn, "settings refused, going on", cause = cause, error = error),
        }
    }

    fn apply(&mut self, next: Settings, cause: &'static str) {
        let waiting = changed_sections(&self.settings, &next);
        log::set_max_level(level_filter(next.log.level));
        self.settings.log = next.log;
        log_event!(Info, "settings reloaded", cause = cause, live = "log", after_restart = waiting);
    }
}

/// Sections other than `log` in which the settings differ.
fn changed_sections(held: &Settings, next: &Settings) -> String {
    let sections = |settings: &Settings| match serde_json::to_value(settings) {
        Ok(Value::Object(sections)) => sections,
        _ => serde_json::Map::new(),
    };
    let (held, next) = (sections(held), sections(next));
    let changed = next.iter().filter(|(name, value)| *name != "log" && held.get(*name) != Some(*value));
    let names: Vec<&str> = changed.map(|(name, _)| name.as_str()).collect();
    if names.is_empty() { "nothing".to_owned() } else { names.join(",") }
}

/// The filter for a level of the settings.
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
