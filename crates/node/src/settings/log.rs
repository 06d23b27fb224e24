//! How a node logs.

/// Form and level of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least level that is written.
    pub level: LogLevel,
}

/// The form of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// What an operator should know of.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Detail for developers.
    Debug,
}
