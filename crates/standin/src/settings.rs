//! Reads settings files, which are YAML as in the rest of the system.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use serde::de::DeserializeOwned;

/// The largest settings file, in bytes.
const MAX_SETTINGS_BYTES: u64 = 64 * 1024;

/// Reads a settings file.
///
/// # Errors
///
/// Fails if the file can't be read, is larger than 64 KiB or isn't YAML that
/// deserializes into `T`.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let fail = |what: &str| Error::new(Step::Settings, format!("{what} {}", path.display()));
    let file = File::open(path).map_err(|e| fail("cannot open").with_cause(e))?;
    let mut text = String::new();
    file.take(MAX_SETTINGS_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(|e| fail("cannot read").with_cause(e))?;
    if u64::try_from(text.len()).is_ok_and(|len| len > MAX_SETTINGS_BYTES) {
        return Err(fail("more than 64 KiB of settings in"));
    }
    serde_saphyr::from_str(&text).map_err(|e| fail("cannot parse").with_cause(e))
}
