//! The verdict of a verb, which decides the exit code.

/// The verdict of a verb, returned as the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The verb succeeded, or the answer is yes.
    Yes,
    /// The answer is no: a catalogue has faults, or nodes lag behind.
    No,
    /// There is no complete answer because of bad arguments, an unreadable file
    /// or a node that didn't answer.
    Unanswered,
}

impl Verdict {
    /// The exit code: 0, 1 or 2.
    pub const fn exit_code(self) -> u8 {
        match self {
            Verdict::Yes => 0,
            Verdict::No => 1,
            Verdict::Unanswered => 2,
        }
    }
}
