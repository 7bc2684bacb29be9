//! The `settings` section: the site's settings, and the time-outs that stand among them.

use super::problems::{Problems, MAX_PROBLEMS};
use super::site_check::{check_settings, Correction};
use super::Origin;
use lanespan_policy::SettingsError;
use lanespan_settings::{flatten, FieldError, Fields, Site};
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// The name of the section in problems.
const SECTION: &str = "settings";
const DEFAULT_DIAL_TIMEOUT_MICROS: u64 = 250_000;
const DEFAULT_IDLE_TIMEOUT_MICROS: u64 = 15_000_000;

/// The settings of a site, as far as a gateway needs them.
pub(super) struct SiteSettings {
    pub(super) site: Site,
    /// A connection to a backend must be made within this.
    pub(super) dial_timeout: Duration,
    /// Backends close connections that are idle for so long.
    pub(super) idle_timeout: Duration,
    /// What is taken in another way than it was written, a line each.
    pub(super) notes: Vec<String>,
    /// The indexes of the classes whose effect is not known.
    pub(super) unknown_effects: HashSet<usize>,
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
enum SiteError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("{SECTION}: {0}")]
    Settings(#[from] SettingsError),
}

impl SiteError {
    /// The key of the value that is wrong.
    fn key(&self) -> &str {
        match self {
            SiteError::Field(error) => error.field().unwrap_or_default(),
            SiteError::Settings(_) => "",
        }
    }
}

impl SiteSettings {
    /// Reads the settings. What can't be read is reported and left out, as long as it may be absent.
    pub(super) fn read(settings: &Value, origin: Origin, problems: &mut Problems) -> Option<SiteSettings> {
        let mut values = BTreeMap::new();
        flatten("", settings, &mut values);
        let Correction { mut wrong, notes, unknown_effects } = check_settings(&mut values, problems, origin);
        while problems.len() < MAX_PROBLEMS {
            let error = match read_values(&values) {
                Ok(times) => return Some(times.into_settings(notes, unknown_effects)),
                Err(error) => error,
            };
            let key = error.key().to_string();
            // A key that was left out and must be there: it was reported, and nothing behind it can be read.
            if wrong.contains(&key) {
                return None;
            }
            problems.extend([error.to_string()]);
            values.remove(&key)?;
            wrong.push(key);
        }
        None
    }
}

/// What is read of the settings' values.
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
