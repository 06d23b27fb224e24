//! `request ID`: a trace of one request, merged from the logs of several nodes.

use std::fmt;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::log::DELIVERED;
use sassafrasspool_wire::log::ENDED_AT_CALLER;
use sassafrasspool_wire::log::ENDED_AT_TARGET;
use sassafrasspool_wire::log::FAILED_ATTEMPT;
use sassafrasspool_wire::log::RequestLine;
use serde::Deserialize;
use serde::Serialize;

use crate::Verdict;
use crate::print::VerbResult;

/// The log lines of one request.
#[derive(Debug, Serialize)]
pub(crate) struct RequestTrace {
    request: String,
    /// Lines of the caller's node, in the order of the attempts.
    #[serde(rename = "first")]
    at_caller: Vec<RequestLine<'static>>,
    /// Lines of the targets' nodes.
    #[serde(rename = "beside")]
    at_target: Vec<RequestLine<'static>>,
    /// Lines of the nodes that sent its large answer by their links.
    deliveries: Vec<RequestLine<'static>>,
    /// Lines that the logs report as dropped.
    #[serde(rename = "left_out")]
    dropped_lines: u64,
    logs: usize,
}

/// The numbers of lines that a node dropped instead of logging them.
#[derive(Debug, Deserialize)]
struct DroppedLines {
    states: u64,
    failures: u64,
    successes: u64,
}

impl RequestTrace {
    /// Reads the lines of a request from logs; `-` is standard input.
    ///
    /// # Errors
    ///
    /// Fails, naming the file, if one can't be read.
    pub(crate) fn read(id: &str, logs: &[PathBuf]) -> Result<RequestTrace> {
        if logs.is_empty() {
            return Err(Error::new(
                Step::Check,
                "give a log with --log, or - for standard input",
            ));
        }
        let mut trace = RequestTrace {
            request: id.to_owned(),
            at_caller: Vec::new(),
            at_target: Vec::new(),
            deliveries: Vec::new(),
            dropped_lines: 0,
            logs: logs.len(),
        };
        for log in logs {
            trace.read_log(log).map_err(|cause| {
                let reason = format!("{} can't be read", log.display());
                Error::new(Step::Parse, reason).with_cause(cause)
            })?;
        }
        // Lines of different nodes aren't merged by time, since the clocks of
        // instances differ.
        trace
            .at_caller
            .sort_by_key(|line| (line.event == ENDED_AT_CALLER, line.try_number, line.unix_ms));
        trace.at_target.sort_by_key(|line| line.unix_ms);
        Ok(trace)
    }

    fn read_log(&mut self, log: &Path) -> io::Result<()> {
        if log == Path::new("-") {
            return self.read_lines(io::stdin().lock());
        }
        self.read_lines(BufReader::new(File::open(log)?))
    }

    fn read_lines(&mut self, log: impl BufRead) -> io::Result<()> {
        for line in log.lines() {
            self.add_line(&line?);
        }
        Ok(())
    }

    /// Adds a line if it concerns the request. Other lines, such as those that
    /// another program wrote into the same log, are skipped.
    fn add_line(&mut self, text: &str) {
        if text.contains("\"lines-left-out\"") {
            if let Ok(dropped) = serde_json::from_str::<DroppedLines>(text) {
                self.dropped_lines += dropped.states + dropped.failures + dropped.successes;
            }
            return;
        }
        if !text.contains(&self.request) {
            return;
        }
        let Ok(line) = serde_json::from_str::<RequestLine<'static>>(text) else {
            return;
        };
        if line.request != self.request {
            return;
        }
        match &*line.event {
            ENDED_AT_TARGET => self.at_target.push(line),
            DELIVERED => self.deliveries.push(line),
            FAILED_ATTEMPT | ENDED_AT_CALLER => self.at_caller.push(line),
            _ => {}
        }
    }

    /// The lines of the node that an attempt was sent to.
    fn target_lines<'a>(
        &'a self,
        line: &'a RequestLine<'_>,
    ) -> impl Iterator<Item = &'a RequestLine<'static>> {
        let at_instance = |it: &&RequestLine<'_>| Some(&it.node) == line.instance.as_ref();
        self.at_target.iter().filter(at_instance)
    }

    /// Explains why an attempt has no line of its target's node; `None` if it
    /// has one, names no instance, or failed to connect.
    fn explain_missing(&self, line: &RequestLine<'_>) -> Option<String> {
        let instance = line.instance.as_ref()?;
        if line.reason.as_deref() == Some("connect") || self.target_lines(line).next().is_some() {
            return None;
        }
        Some(format!(
            "no line of {instance}: its log isn't among the {} that were read, the line was left \
             out ({} were), or the request never came there",
            self.logs, self.dropped_lines
        ))
    }
}

impl VerbResult for RequestTrace {
    fn verdict(&self) -> Verdict {
        let is_empty =
            self.at_caller.is_empty() && self.at_target.is_empty() && self.deliveries.is_empty();
        match is_empty {
            true => Verdict::No,
            false => Verdict::Yes,
        }
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.verdict() == Verdict::No {
            let (logs, dropped) = (self.logs, self.dropped_lines);
            return writeln!(
                f,
                "no line of {} in {logs} logs; {dropped} lines were left out",
                self.request
            );
        }
        writeln!(f, "request {}", self.request)?;
        for line in &self.at_caller {
            write_line(f, line)?;
            for target_line in self.target_lines(line) {
                write_line(f, target_line)?;
            }
            if let Some(missing) = self.explain_missing(line) {
                writeln!(f, "    {missing}")?;
            }
        }
        if self.at_caller.is_empty() {
            writeln!(f, "  no line of the node that took it from its caller")?;
            for line in &self.at_target {
                write_line(f, line)?;
            }
        }
        for line in &self.deliveries {
            write_line(f, line)?;
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &RequestLine<'_>) -> fmt::Result {
    let indent = if line.event == ENDED_AT_TARGET {
        "    "
    } else {
        "  "
    };
    write!(f, "{indent}{} {}", line.node, line.event)?;
    if let (Some(number), Some(instance)) = (line.try_number, &line.instance) {
        write!(f, " try {number} at {instance}")?;
    }
    if let Some(percent) = line.load_percent {
        write!(f, " (load {percent}%)")?;
    }
    write!(f, ": {}", line.outcome)?;
    if let (Some(step), Some(reason)) = (&line.step, &line.reason) {
        write!(f, " at {step}, {reason}")?;
    }
    if let Some(status) = line.status {
        write!(f, " {status}")?;
    }
    write!(
        f,
        " after {} ms, {} ms left",
        format_ms(line.took_us),
        format_ms(line.left_us)
    )?;
    if let Some(soft_left_us) = line.aim_left_us {
        write!(f, ", {} ms in time", format_ms(soft_left_us))?;
    }
    if let Some([running, slots, waiting]) = line.load {
        write!(f, "; {running} of {slots} slots, {waiting} waiting")?;
    }
    if let Some(recent) = line.recent {
        write!(f, ", {recent} admitted within a second")?;
    }
    if let Some(cold_us) = line.cold_us {
        write!(f, ", cold for {} ms", format_ms(cold_us))?;
    }
    if let (Some(catalogue), Some(list)) = (line.catalogue, line.list) {
        write!(f, "; catalogue {catalogue}")?;
        if let Some(age) = line.catalogue_ms {
            write!(f, " for {age} ms")?;
        }
        write!(f, ", list {list}")?;
        if let Some(age) = line.list_ms {
            write!(f, " proved {age} ms ago")?;
        }
    }
    if let (Some(advertised), Some(age)) = (line.heard, line.heard_ms) {
        write!(f, "; behind: heard of catalogue {advertised} {age} ms ago")?;
    }
    if let (Some(bytes), Some([source, link, receiver])) = (line.sent_bytes, line.delivery_us) {
        write!(
            f,
            "; {bytes} bytes, waited {} ms for the source, {} ms for the link, {} ms for the receiver",
            format_ms(source),
            format_ms(link),
            format_ms(receiver)
        )?;
    }
    if let Some(contact) = line.contact_ms {
        write!(f, ", source heard {contact} ms ago")?;
    }
    writeln!(f)
}

/// Microseconds as milliseconds with one decimal place.
fn format_ms(us: u64) -> String {
    format!("{}.{}", us / 1_000, us % 1_000 / 100)
}
