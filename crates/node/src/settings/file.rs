//! A settings file that is read again while the node runs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use super::Settings;
use super::SettingsError;

/// A settings file with its text when it was last read.
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
    /// Fails if it can't be read, or with every fault in its text.
    pub fn open(path: &Path) -> Result<(SettingsFile, Settings), SettingsError> {
        let text = read(path)?;
        let settings = parse(path, &text)?;
        let path = path.to_owned();
        Ok((SettingsFile { path, text }, settings))
    }

    /// Reads the file again; `None` if its text hasn't changed.
    ///
    /// The faults of an invalid text are returned once and not again until the text
    /// changes.
    ///
    /// # Errors
    ///
    /// Fails if it can't be read, or with every fault in its text.
    pub fn reload_if_changed(&mut self) -> Option<Result<Settings, SettingsError>> {
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
