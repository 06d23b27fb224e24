//! Passes the lines that `tracing` formats to the sink.

use std::io;

use tracing_subscriber::fmt::MakeWriter;

use super::LogSink;
use super::Rank;

/// Writes each line of `tracing` to the sink as a state change.
#[derive(Debug)]
pub(crate) struct StateWriter(pub(crate) LogSink);

impl<'a> MakeWriter<'a> for StateWriter {
    type Writer = StateLine<'a>;

    fn make_writer(&'a self) -> StateLine<'a> {
        StateLine {
            sink: &self.0,
            text: Vec::new(),
        }
    }
}

/// One line, which is complete and goes to the sink when this is dropped.
#[derive(Debug)]
pub(crate) struct StateLine<'a> {
    sink: &'a LogSink,
    text: Vec<u8>,
}

impl io::Write for StateLine<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for StateLine<'_> {
    fn drop(&mut self) {
        if !self.text.is_empty() {
            self.sink.write_text(Rank::State, &self.text);
        }
    }
}
