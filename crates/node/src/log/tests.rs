use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use sassafrasspool_core::Tick;
use sassafrasspool_standin::CapturedOutput;

use super::LogSink;
use super::Rank;
use super::budget::ByteBudget;
use super::buffer::Buffer;

/// An output that blocks until its sender is dropped.
#[derive(Debug)]
struct StalledOutput(mpsc::Receiver<()>);

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lower_ranks_leave_a_reserve_for_higher_ranks() {
    let mut budget = ByteBudget::new(1_000);
    let now = Tick::from_millis(1);
    let mut written = [0; 3];
    for rank in [Rank::Success, Rank::Failure, Rank::State] {
        while budget.allows(now, rank) {
            budget.consume(10);
            written[rank as usize] += 10;
        }
    }
    assert_eq!(written, [200, 400, 400]);
    let later = now + Duration::from_millis(100);
    assert!(budget.allows(later, Rank::State));
    assert!(!budget.allows(later, Rank::Failure));
}

#[test]
fn dropped_lines_are_reported_before_the_next_line() {
    let mut buffer = Buffer::new(100);
    let line = |pending: &mut Vec<u8>| pending.extend_from_slice(&[b'x'; 50]);
    let now = Tick::from_millis(1);
    let added: Vec<bool> = (0..4)
        .map(|_| buffer.add(now, Rank::Success, line))
        .collect();
    assert_eq!(added, [true, false, false, false]);
    buffer.take();
    assert!(buffer.add(now + Duration::from_secs(1), Rank::Success, line));
    let text = String::from_utf8(buffer.take()).expect("text");
    let report = r#"{"event":"lines-left-out","states":0,"failures":0,"successes":3}"#;
    assert!(text.starts_with(report), "{text}");
}

#[test]
fn lines_are_written_in_order_and_flushed_at_the_end() {
    let out = CapturedOutput::default();
    let sink = LogSink::start(1_000_000, out.clone()).expect("a thread");
    for n in 0..100 {
        sink.write(Rank::State, &n);
    }
    sink.flush();
    let text = out.text();
    let numbers: Vec<u32> = text
        .lines()
        .map(|it| it.parse().expect("a number"))
        .collect();
    assert!(numbers.into_iter().eq(0..100));
}

/// Guards against a node that blocks on a stalled reader of its log.
#[test]
fn stalled_output_drops_lines_without_blocking() {
    let (reader, stalled) = mpsc::channel();
    let sink = LogSink::start(u64::from(u32::MAX), StalledOutput(stalled)).expect("a thread");
    let line = "x".repeat(1_000);
    for _ in 0..2_000 {
        sink.write(Rank::Failure, &line);
    }
    let dropped = sink.dropped_lines()[Rank::Failure as usize];
    assert!(dropped >= 1_400, "{dropped}");
    sink.flush();
    drop(reader);
}
