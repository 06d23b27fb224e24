//! Captures written output for tests.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A writer that keeps all bytes in memory; clones share one buffer.
///
/// # Example
///
/// ```
/// use std::io::Write;
///
/// use sassafrasspool_standin::CapturedOutput;
///
/// let output = CapturedOutput::default();
/// output.clone().write_all(b"a line\n")?;
/// assert_eq!(output.text(), "a line\n");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl CapturedOutput {
    /// All output so far as text; invalid UTF-8 is replaced by U+FFFD.
    pub fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buf = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        buf.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
