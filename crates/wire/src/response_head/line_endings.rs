//! The line endings of response heads, which the HTTP library doesn't report.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::MalformedHead;
use crate::IoObserver;

/// Where a status line, such as `HTTP/1.1 200 OK`, has the first digit of its status.
const STATUS_OFFSET: usize = 9;

/// The line endings of response heads on a connection; clones share them.
///
/// The HTTP library accepts CR LF as well as a lone LF. In a head of CR LF lines, a byte that
/// was replaced by LF may end the head early, so that the rest of the head is taken for the
/// body. A head that has both endings is therefore malformed.
#[derive(Debug, Clone, Default)]
pub struct LineEndings(Arc<Mutex<Scan>>);

impl LineEndings {
    /// Expects the head of the next response. Bytes after a head are ignored until then.
    pub fn expect_head(&self) {
        *self.lock() = Scan::default();
    }

    /// Checks the head that was read last, and those of interim responses before it.
    ///
    /// # Errors
    ///
    /// Fails if some of its lines end in CR LF and others in a lone LF.
    pub fn check(&self) -> Result<(), MalformedHead> {
        let scan = self.lock();
        match scan.has_crlf && scan.has_lone_lf {
            true => Err(MalformedHead("the line endings differ")),
            false => Ok(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Scan> {
        // No change of the state can panic halfway.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IoObserver for LineEndings {
    fn on_read(&mut self, bytes: &[u8]) {
        let mut scan = self.lock();
        for byte in bytes {
            if scan.is_complete {
                return;
            }
            scan.push(*byte);
        }
    }

    fn on_written(&mut self, _: usize) {}
}

/// The state of reading a head.
#[derive(Debug, Default)]
struct Scan {
    /// Bytes of the current line so far.
    line_bytes: usize,
    /// Whether the last byte is a CR.
    after_cr: bool,
    /// Whether the status line has ended.
    in_fields: bool,
    /// Whether the status is that of an interim response, which another head follows.
    is_interim: bool,
    is_complete: bool,
    has_crlf: bool,
    has_lone_lf: bool,
}

impl Scan {
    fn push(&mut self, byte: u8) {
        if byte == b'\n' {
            return self.end_line();
        }
        if !self.in_fields && self.line_bytes == STATUS_OFFSET {
            self.is_interim = byte == b'1';
        }
        self.line_bytes += 1;
        self.after_cr = byte == b'\r';
    }

    fn end_line(&mut self) {
        let is_empty = self.line_bytes == usize::from(self.after_cr);
        self.has_crlf |= self.after_cr;
        self.has_lone_lf |= !self.after_cr;
        self.line_bytes = 0;
        self.after_cr = false;
        if !is_empty {
            self.in_fields = true;
        } else if self.in_fields {
            // Empty lines before a status line are ignored.
            self.in_fields = false;
            self.is_complete = !self.is_interim;
        }
    }
}
