//! The error type of this crate. An error has the step at which it arose and the
//! peer, if another process was involved.

use std::error;
use std::fmt;

/// The result of a fallible operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The step at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Step {
    /// Checking a name, number or address.
    Check,
    /// Reading settings.
    Settings,
    /// Parsing a catalogue.
    Parse,
    /// Encoding or decoding a body or message.
    Codec,
    /// Making or applying a delta.
    Delta,
    /// Binding a snapshot.
    Bind,
    /// Reading from the platform.
    Source,
    /// Exchanging messages with another node.
    Exchange,
    /// Choosing an endpoint.
    Route,
    /// Admission at the target's node.
    Admission,
    /// Sending a request to its target or to the next node.
    Forward,
    /// Opening a listener or a connection.
    Connect,
    /// An operator's request on the admin address.
    Admin,
}

impl Step {
    /// The step's name in messages and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Step::Check => "check",
            Step::Settings => "settings",
            Step::Parse => "parse",
            Step::Codec => "codec",
            Step::Delta => "delta",
            Step::Bind => "bind",
            Step::Source => "source",
            Step::Exchange => "exchange",
            Step::Route => "route",
            Step::Admission => "admission",
            Step::Forward => "forward",
            Step::Connect => "connect",
            Step::Admin => "admin",
        }
    }
}

/// An error with its step, its peer if one was involved, and its cause.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::Error;
/// use sassafrasspool_core::Step;
///
/// let err = Error::new(Step::Exchange, "connection reset").at_peer("wd-3");
/// assert_eq!(err.to_string(), "exchange with wd-3: connection reset");
/// ```
#[derive(Debug)]
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    step: Step,
    peer: Option<String>,
    message: String,
    cause: Option<Box<dyn error::Error + Send + Sync>>,
}

impl Error {
    /// An error at `step` with a message for operators.
    pub fn new(step: Step, message: impl Into<String>) -> Error {
        Error(Box::new(Inner {
            step,
            peer: None,
            message: message.into(),
            cause: None,
        }))
    }

    /// Adds the peer at which the error arose.
    #[must_use]
    pub fn at_peer(mut self, peer: impl fmt::Display) -> Error {
        self.0.peer = Some(peer.to_string());
        self
    }

    /// Adds the cause of the error.
    #[must_use]
    pub fn with_cause(mut self, cause: impl Into<Box<dyn error::Error + Send + Sync>>) -> Error {
        self.0.cause = Some(cause.into());
        self
    }

    /// The step at which the error arose.
    pub fn step(&self) -> Step {
        self.0.step
    }

    /// The peer at which the error arose, if one was involved.
    pub fn peer(&self) -> Option<&str> {
        self.0.peer.as_deref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.step.as_str())?;
        if let Some(peer) = &self.0.peer {
            write!(f, " with {peer}")?;
        }
        write!(f, ": {}", self.0.message)?;
        if let Some(cause) = &self.0.cause {
            write!(f, ": {cause}")?;
        }
        Ok(())
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match &self.0.cause {
            Some(cause) => Some(cause.as_ref()),
            None => None,
        }
    }
}
