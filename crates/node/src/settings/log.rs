//! Settings of a node's log.

use std::ops::RangeInclusive;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

/// Format, level and rate of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The lowest level that is written.
    pub level: LogLevel,
    /// The most bytes of lines written per second. Lines beyond it are dropped and
    /// counted.
    pub bytes_per_s: u64,
}

/// The default limit in bytes per second: about a hundred lines.
const DEFAULT_BYTES_PER_S: u64 = 32 * 1024;

/// Allowed limits in bytes per second.
const BYTES_PER_S: RangeInclusive<u64> = 256..=1_073_741_824;

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            format: LogFormat::default(),
            level: LogLevel::default(),
            bytes_per_s: DEFAULT_BYTES_PER_S,
        }
    }
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The lowest level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Events that an operator should know.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl LogSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<LogSettings> {
        let format = table.optional_text("format", faults, LogFormat::from_name);
        let level = table.optional_text("level", faults, LogLevel::from_name);
        let bytes_per_s = table.number_or("bytes_per_s", BYTES_PER_S, DEFAULT_BYTES_PER_S, faults);
        table.finish(faults);
        Some(LogSettings {
            bytes_per_s: bytes_per_s?,
            format: format.unwrap_or_default(),
            level: level.unwrap_or_default(),
        })
    }
}

impl LogFormat {
    fn from_name(name: &str) -> Result<LogFormat, String> {
        match name {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("must be text or json, is {name:?}")),
        }
    }
}

impl LogLevel {
    /// The level's name in settings and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
        }
    }

    fn from_name(name: &str) -> Result<LogLevel, String> {
        let all = [
            LogLevel::Error,
            LogLevel::Warn,
            LogLevel::Info,
            LogLevel::Debug,
        ];
        all.into_iter()
            .find(|level| level.as_str() == name)
            .ok_or_else(|| format!("must be error, warn, info or debug, is {name:?}"))
    }
}
