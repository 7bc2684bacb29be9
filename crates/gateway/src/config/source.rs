//! Where a configuration comes from, and who wrote it.

use super::platform::Overrides;
use super::{platform, Config};
use crate::config_error::ConfigError;
use crate::names::Names;
use serde_json::Value;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A file is read up to this length, in bytes. Guards memory against one that is no configuration.
const MAX_FILE: u64 = 32 << 20;

/// Who wrote a configuration file, which decides what a key means that this gateway did not expect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Origin {
    /// An operator of this gateway: all keys are this gateway's, and one that is wrong is an error.
    #[default]
    Operator,
    /// The platform, which may add any key: only those that its pages define are read, all others passed over.
    Platform,
}

/// Where a configuration is read, and what the environment says of it, which goes before the file.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// The file: TOML where its name ends so, else JSON.
    pub path: PathBuf,
    /// Who wrote it.
    pub origin: Origin,
    /// LANESPAN_CONFIG: an operator's file with the sections of this gateway, beside the platform's file.
    pub sections: Option<PathBuf>,
    /// NODE_NAME.
    pub name: Option<String>,
    /// NODE_LISTEN.
    pub listen: Option<SocketAddr>,
    /// NODE_DISCOVERY.
    pub discovery: Option<SocketAddr>,
    /// LANESPAN_NAMES.
    pub names: Option<PathBuf>,
}

impl Source {
    /// Reads the file and all that it says.
    ///
    /// # Errors
    ///
    /// All that is wrong with it, each with the file in which it stands.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let main = self.path.display().to_string();
        let value = document(&self.path)?;
        if self.origin == Origin::Operator {
            return Config::of(value, self).map_err(|error| error.at(&main));
        }
        let overrides = Overrides { listen: self.listen.is_some(), discovery: self.discovery.is_some() };
        let mut sifted = platform::sift(value, overrides).map_err(|error| error.at(&main))?;
        if let Some(path) = &self.sections {
            let sections = document(path)?;
            sifted.add_sections(sections).map_err(|error| error.at(&path.display().to_string()))?;
        }
        Config::of_platform(sifted, self).map_err(|error| error.at_each(|line| self.place_of(line)))
    }

    /// Reads the file again. It goes before the environment, which is as it was at the start.
    ///
    /// # Errors
    ///
    /// As for [`Source::read`].
    pub fn read_again(&self) -> Result<Config, ConfigError> {
        Source { discovery: None, ..self.clone() }.read()
    }

    /// The file to which a problem's line belongs.
    fn place_of(&self, line: &str) -> String {
        let key = line.split(['.', ':']).next().unwrap_or_default();
        let own = self.sections.as_ref().filter(|_| platform::SECTIONS.contains(&key));
        own.unwrap_or(&self.path).display().to_string()
    }

    /// The names that the deployment gives to what goes over its sockets.
    pub(super) fn names(&self, told: &Value) -> Result<Names, ConfigError> {
        let Some(path) = &self.names else {
            // One that is no section is told with the others.
            let section = told.get("names").filter(|names| !names.is_null() && !names.is_array());
            return section.map_or_else(|| Ok(Names::default()), Names::of);
        };
        let read = text(path).and_then(|text| {
            let value = serde_json::from_str(&text).map_err(|e| ConfigError::new(e.to_string()))?;
            Names::of(&value)
        });
        read.map_err(|error| error.at(&path.display().to_string()))
    }
}

/// A file's text as a document: TOML where its name ends so, else JSON.
fn document(path: &Path) -> Result<Value, ConfigError> {
    let read = text(path).and_then(|text| {
        let value = match path.extension().is_some_and(|suffix| suffix == "toml") {
            true => toml::from_str::<Value>(&text).map_err(|e| one_line(&e.to_string())),
            false => serde_json::from_str::<Value>(&text).map_err(|e| e.to_string()),
        };
        value.map_err(ConfigError::new)
    });
    read.map_err(|error| error.at(&path.display().to_string()))
}

/// A file's text.
fn text(path: &Path) -> Result<String, ConfigError> {
    let told = |error: std::io::Error| ConfigError::new(error.to_string());
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).map_err(told)?;
    file.take(MAX_FILE + 1).read_to_end(&mut bytes).map_err(told)?;
    if bytes.len() as u64 > MAX_FILE {
        return Err(ConfigError::new(format!("longer than {} MiB", MAX_FILE >> 20)));
    }
    let text = String::from_utf8(bytes).map_err(|_| ConfigError::new("not UTF-8".into()))?;
    match text.trim().is_empty() {
        true => Err(ConfigError::new("empty".into())),
        false => Ok(text),
    }
}

/// What a parser says over several lines.
fn one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}
