//! `request ID`: the way of one request, from the logs of several nodes.

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
use sassafrasspool_wire::log::BESIDE;
use sassafrasspool_wire::log::ENDED;
use sassafrasspool_wire::log::RequestLine;
use sassafrasspool_wire::log::TRIED;
use serde::Deserialize;
use serde::Serialize;

use crate::Verdict;
use crate::print::Finding;

/// Everything that logs say of one request.
#[derive(Debug, Serialize)]
pub(crate) struct Way {
    request: String,
    /// Lines of the node that took it, in the order of its tries.
    first: Vec<RequestLine<'static>>,
    /// Lines of nodes beside targets.
    beside: Vec<RequestLine<'static>>,
    /// Lines that the logs say were left out.
    left_out: u64,
    logs: usize,
}

/// What a log says of lines that it lacks.
#[derive(Debug, Deserialize)]
struct LeftOut {
    states: u64,
    failures: u64,
    successes: u64,
}

impl Way {
    /// Reads logs, of which `-` is standard input.
    ///
    /// # Errors
    ///
    /// Fails, naming the file, if one can't be read.
    pub(crate) fn read(id: &str, logs: &[PathBuf]) -> Result<Way> {
        if logs.is_empty() {
            return Err(Error::new(
                Step::Check,
                "name a log with --log, or - for standard input",
            ));
        }
        let mut way = Way {
            request: id.to_owned(),
            first: Vec::new(),
            beside: Vec::new(),
            left_out: 0,
            logs: logs.len(),
        };
        for log in logs {
            way.read_log(log).map_err(|cause| {
                let reason = format!("{} can't be read", log.display());
                Error::new(Step::Parse, reason).with_cause(cause)
            })?;
        }
        // Clocks of instances differ, so that only lines of one node are put in
        // order by time.
        way.first
            .sort_by_key(|line| (line.event == ENDED, line.try_number, line.unix_ms));
        way.beside.sort_by_key(|line| line.unix_ms);
        Ok(way)
    }

    fn read_log(&mut self, log: &Path) -> io::Result<()> {
        if log == Path::new("-") {
            return self.read_lines(io::stdin().lock());
        }
        self.read_lines(BufReader::new(File::open(log)?))
    }

    fn read_lines(&mut self, log: impl BufRead) -> io::Result<()> {
        for line in log.lines() {
            self.take(&line?);
        }
        Ok(())
    }

    /// Takes a line in, if it concerns the request. Others, and lines that some
    /// other program wrote between them, are passed over.
    fn take(&mut self, text: &str) {
        if text.contains("\"lines-left-out\"") {
            if let Ok(left_out) = serde_json::from_str::<LeftOut>(text) {
                self.left_out += left_out.states + left_out.failures + left_out.successes;
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
            BESIDE => self.beside.push(line),
            TRIED | ENDED => self.first.push(line),
            _ => {}
        }
    }

    /// What a try's instance says of it.
    fn beside_of<'a>(
        &'a self,
        line: &'a RequestLine<'_>,
    ) -> impl Iterator<Item = &'a RequestLine<'static>> {
        let at = |it: &&RequestLine<'_>| Some(&it.node) == line.instance.as_ref();
        self.beside.iter().filter(at)
    }

    fn missing(&self, line: &RequestLine<'_>) -> Option<String> {
        let instance = line.instance.as_ref()?;
        if line.reason.as_deref() == Some("connect") || self.beside_of(line).next().is_some() {
            return None;
        }
        Some(format!(
            "no line of {instance}: its log isn't among the {} that were read, the line was left \
             out ({} were), or the request never came there",
            self.logs, self.left_out
        ))
    }
}

impl Finding for Way {
    fn verdict(&self) -> Verdict {
        match self.first.is_empty() && self.beside.is_empty() {
            true => Verdict::No,
            false => Verdict::Yes,
        }
    }
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.verdict() == Verdict::No {
            let (logs, left_out) = (self.logs, self.left_out);
            return writeln!(
                f,
                "no line of {} in {logs} logs; {left_out} lines were left out",
                self.request
            );
        }
        writeln!(f, "request {}", self.request)?;
        for line in &self.first {
            write_line(f, line)?;
            for beside in self.beside_of(line) {
                write_line(f, beside)?;
            }
            if let Some(missing) = self.missing(line) {
                writeln!(f, "    {missing}")?;
            }
        }
        if self.first.is_empty() {
            writeln!(f, "  no line of the node that took it from its caller")?;
            for beside in &self.beside {
                write_line(f, beside)?;
            }
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &RequestLine<'_>) -> fmt::Result {
    let indent = if line.event == BESIDE { "    " } else { "  " };
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
        ms(line.took_us),
        ms(line.left_us)
    )?;
    if let Some(aim) = line.aim_left_us {
        write!(f, ", {} ms in time", ms(aim))?;
    }
    if let Some([running, slots, waiting]) = line.load {
        write!(f, "; {running} of {slots} slots, {waiting} waiting")?;
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
    if let (Some(heard), Some(age)) = (line.heard, line.heard_ms) {
        write!(f, "; behind: heard of catalogue {heard} {age} ms ago")?;
    }
    if let Some(contact) = line.contact_ms {
        write!(f, ", source heard {contact} ms ago")?;
    }
    writeln!(f)
}

fn ms(us: u64) -> String {
    format!("{}.{}", us / 1_000, us % 1_000 / 100)
}
