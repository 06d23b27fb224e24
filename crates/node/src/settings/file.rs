//! A settings file that may change while the node runs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use super::Settings;
use super::SettingsError;

/// The file with what it held when it was last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads a file for the first time.
    ///
    /// # Errors
    ///
    /// Fails if it can't be read, or with every fault of its text.
    pub fn open(path: &Path) -> Result<(SettingsFile, Settings), SettingsError> {
        let text = read(path)?;
        let settings = parse(path, &text)?;
        let path = path.to_owned();
        Ok((SettingsFile { path, text }, settings))
    }

    /// Reads the file again; nothing if it is as it was.
    ///
    /// A text that was refused is told once and not again until it changes.
    ///
    /// # Errors
    ///
    /// Fails if it can't be read, or with every fault of its text.
    pub fn changed(&mut self) -> Option<Result<Settings, SettingsError>> {
        let text = match read(&self.path) {
            Ok(text) if text == self.text => return None,
            Ok(text) => text,
            Err(err) => return Some(Err(err)),
        };
        let settings = parse(&self.path, &text);
        self.text = text;
        Some(settings)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |err: std::io::Error| {
        SettingsError::unreadable(&path.display().to_string(), &err.to_string())
    };
    fs::read_to_string(path).map_err(unreadable)
}

fn parse(path: &Path, text: &str) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    Settings::parse(text).map_err(|faults| SettingsError::new(&name, text, faults))
}
