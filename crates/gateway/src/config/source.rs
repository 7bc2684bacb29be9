//! Reads configuration files, from the operator or the platform, and applies the overrides of the environment.

use super::platform::{self, Overrides, PlatformDocument};
use super::Config;
use crate::config_error::ConfigError;
use crate::names::Names;
use serde_json::Value;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Files larger than this are rejected, so that a file that is not a configuration can't exhaust memory.
const MAX_FILE_MEBIBYTES: u64 = 32;
const MAX_FILE_BYTES: u64 = MAX_FILE_MEBIBYTES << 20;

/// Who wrote a configuration file. This decides whether an unknown key is an error.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Origin {
    /// An operator of this gateway. All keys are meant for this gateway, and an unknown one is an error.
    #[default]
    Operator,
    /// The platform, which may add any key. Only those that its documentation defines are read, all others are ignored.
    Platform,
}

/// The files of a configuration, and the values of the environment that override them.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// The main file: TOML if its name ends in `.toml`, JSON otherwise.
    pub path: PathBuf,
    /// Who wrote the main file.
    pub origin: Origin,
    /// LANESPAN_CONFIG: an operator's file with this gateway's own sections, in addition to the platform's file.
    pub sections: Option<PathBuf>,
    /// NODE_NAME: the gateway's name.
    pub name: Option<String>,
    /// NODE_LISTEN: the address to listen on for clients.
    pub listen: Option<SocketAddr>,
    /// NODE_DISCOVERY: the address of discovery.
    pub discovery: Option<SocketAddr>,
    /// LANESPAN_NAMES: a file with the deployment's names, instead of the section `names`.
    pub names: Option<PathBuf>,
}

impl Source {
    /// Reads the files and builds the configuration.
    ///
    /// # Errors
    ///
    /// Returns every problem, prefixed with its file.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let main = self.path.display().to_string();
        let document = read_document(&self.path)?;
        if self.origin == Origin::Operator {
            return Config::from_document(document, self).map_err(|error| error.with_location(&main));
        }
        let overrides = Overrides { listen: self.listen.is_some(), discovery: self.discovery.is_some() };
        let platform = PlatformDocument::read(document, overrides);
        let mut platform = platform.map_err(|error| error.with_location(&main))?;
        if let Some(path) = &self.sections {
            let sections = read_document(path)?;
            platform
                .add_sections(sections)
                .map_err(|error| error.with_location(&path.display().to_string()))?;
        }
        Config::from_platform(platform, self).map_err(|error| error.with_locations(|line| self.file_of(line)))
    }

    /// Reads the files again for a reload. The file's discovery address is used, because NODE_DISCOVERY can't change
    /// while the process runs.
    ///
    /// # Errors
    ///
    /// As for [`Source::read`].
    pub fn reload(&self) -> Result<Config, ConfigError> {
        Source { discovery: None, ..self.clone() }.read()
    }

    /// Returns the file that a problem's line refers to.
    fn file_of(&self, line: &str) -> String {
        let key = line.split(['.', ':']).next().unwrap_or_default();
        let sections_file = self.sections.as_ref().filter(|_| platform::SECTIONS.contains(&key));
        sections_file.unwrap_or(&self.path).display().to_string()
    }

    /// Reads the deployment's names from their file or from the section of `document`.
    pub(super) fn names(&self, document: &Value) -> Result<Names, ConfigError> {
        let Some(path) = &self.names else {
            // A list in place of the section is reported when the document is read.
            let section = document.get("names").filter(|names| !names.is_null() && !names.is_array());
            return section.map_or_else(|| Ok(Names::default()), Names::read);
        };
        let read = read_text(path).and_then(|text| {
            let value = serde_json::from_str(&text).map_err(|e| ConfigError::new(e.to_string()))?;
            Names::read(&value)
        });
        read.map_err(|error| error.with_location(&path.display().to_string()))
    }
}

/// Reads a file as a document: TOML if its name ends in `.toml`, JSON otherwise.
fn read_document(path: &Path) -> Result<Value, ConfigError> {
    let read = read_text(path).and_then(|text| {
        let value = match path.extension().is_some_and(|suffix| suffix == "toml") {
            true => toml::from_str::<Value>(&text).map_err(|e| one_line(&e.to_string())),
            false => serde_json::from_str::<Value>(&text).map_err(|e| e.to_string()),
        };
        value.map_err(ConfigError::new)
    });
    read.map_err(|error| error.with_location(&path.display().to_string()))
}

/// Reads a file as text. An empty file, or one over [`MAX_FILE_BYTES`], is an error.
fn read_text(path: &Path) -> Result<String, ConfigError> {
    let read_error = |error: std::io::Error| ConfigError::new(error.to_string());
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).map_err(read_error)?;
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(read_error)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(ConfigError::new(format!("the file is longer than {} MiB", MAX_FILE_MEBIBYTES)));
    }
    let text = String::from_utf8(bytes).map_err(|_| ConfigError::new("the file is not UTF-8".into()))?;
    match text.trim().is_empty() {
        true => Err(ConfigError::new("the file is empty".into())),
        false => Ok(text),
    }
}

/// Joins the lines of a message into one line.
fn one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}
