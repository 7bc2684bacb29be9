//! The `settings` section: the settings of the site, and the timeouts of connections to backends that it contains.

use super::problems::{Problems, MAX_PROBLEMS};
use super::site_check::{check_settings, Correction};
use super::Origin;
use lanespan_policy::SettingsError;
use lanespan_settings::{flatten, FieldError, Fields, Site};
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// The name of the section, as shown in problems.
const SECTION: &str = "settings";
const DEFAULT_DIAL_TIMEOUT_MICROS: u64 = 250_000;
const DEFAULT_IDLE_TIMEOUT_MICROS: u64 = 15_000_000;

/// The validated `settings` section.
pub(super) struct SiteSettings {
    pub(super) site: Site,
    /// The timeout for opening a connection to a backend.
    pub(super) dial_timeout: Duration,
    /// Backends close connections that were idle for this time.
    pub(super) idle_timeout: Duration,
    /// The values that are not used as written, one line each.
    pub(super) notes: Vec<String>,
    /// The indexes of the classes whose effect this gateway does not know.
    pub(super) unknown_effects: HashSet<usize>,
}

/// Why settings are invalid.
#[derive(Debug, thiserror::Error)]
enum SiteError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("{SECTION}: {0}")]
    Settings(#[from] SettingsError),
}

impl SiteError {
    /// Returns the key of the invalid value, or an empty string if the error concerns no single key.
    fn key(&self) -> &str {
        match self {
            SiteError::Field(error) => error.field().unwrap_or_default(),
            SiteError::Settings(_) => "",
        }
    }
}

impl SiteSettings {
    /// Reads the settings. Invalid values are reported and removed, so that the rest is still read. Returns `None` if
    /// the rest can't be read.
    pub(super) fn read(settings: &Value, origin: Origin, problems: &mut Problems) -> Option<SiteSettings> {
        let mut values = BTreeMap::new();
        flatten("", settings, &mut values);
        let Correction { mut reported, notes, unknown_effects } =
            check_settings(&mut values, problems, origin);
        while problems.len() < MAX_PROBLEMS {
            let error = match read_values(&values) {
                Ok(values) => return Some(values.into_settings(notes, unknown_effects)),
                Err(error) => error,
            };
            let key = error.key().to_string();
            // The key was reported before and then removed, but is required, so the rest can't be read without it.
            if reported.contains(&key) {
                return None;
            }
            problems.extend([error.to_string()]);
            values.remove(&key)?;
            reported.push(key);
        }
        None
    }
}

/// The parts of the settings that are read from their values.
struct SiteValues {
    site: Site,
    dial_timeout: Duration,
    idle_timeout: Duration,
}

impl SiteValues {
    fn into_settings(self, notes: Vec<String>, unknown_effects: HashSet<usize>) -> SiteSettings {
        let SiteValues { site, dial_timeout, idle_timeout } = self;
        SiteSettings { site, dial_timeout, idle_timeout, notes, unknown_effects }
    }
}

fn read_values(values: &BTreeMap<String, String>) -> Result<SiteValues, SiteError> {
    let pairs = values.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let fields = Fields { place: SECTION.into(), message_type: SECTION, pairs };
    let site = Site::read(&fields)?;
    site.settings.check()?;
    let duration = |name, default_micros| -> Result<Duration, FieldError> {
        Ok(Duration::from_micros(fields.micros_or(name, default_micros)?.0))
    };
    let dial_timeout = duration("bounds.dial_timeout", DEFAULT_DIAL_TIMEOUT_MICROS)?;
    let idle_timeout = duration("bounds.conn_idle", DEFAULT_IDLE_TIMEOUT_MICROS)?;
    Ok(SiteValues { site, dial_timeout, idle_timeout })
}
