//! Callers that run as processes of their own. Each process makes its share of the
//! calls and writes its records, one line of JSON for each attempt.

use std::ffi::OsString;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_bench::chaos::callers::RETRY_POLICY;
use sassafrasspool_bench::chaos::callers::TIMEOUT;
use sassafrasspool_bench::chaos::callers::TIMEOUT_GRACE;
use sassafrasspool_bench::chaos::catalogue::KINDS;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::Caller;
use sassafrasspool_bench::load::Client;
use sassafrasspool_bench::load::Ending;
use sassafrasspool_bench::load::EntryNodes;
use sassafrasspool_bench::load::OpenLoop;
use sassafrasspool_bench::load::Plan;
use sassafrasspool_bench::load::SystemUnderTest;
use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::DOWNLOAD;

pub use self::crashing::CRASHING_PATH;
pub use self::irregular::IrregularCallStats;

mod crashing;
mod downloads;
mod irregular;

/// The subcommand with which this program makes calls.
pub const CALL_SUBCOMMAND: &str = "call";

/// The job of one caller process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallerJob {
    /// The number of the process, from 0.
    pub number: u64,
    /// The seed of the run.
    pub seed: u64,
    /// Calls per second.
    pub rate_per_s: f64,
    /// How long calls are made, in milliseconds.
    pub length_ms: u64,
    /// The addresses at which nodes accept calls.
    pub entries: Vec<SocketAddr>,
    /// The file for the call records.
    pub records: PathBuf,
    /// The file for the counts of abandoned and pipelined requests.
    #[serde(rename = "rude")]
    pub irregular: PathBuf,
}

impl CallerJob {
    /// Writes the job to `file` and returns the arguments with which this program runs it.
    ///
    /// # Errors
    ///
    /// Fails if `file` can't be written.
    pub fn write_args(&self, file: &Path) -> miette::Result<Vec<OsString>> {
        let text = serde_json::to_vec(self).into_diagnostic()?;
        std::fs::write(file, text).into_diagnostic()?;
        Ok(vec![CALL_SUBCOMMAND.into(), file.as_os_str().to_owned()])
    }
}

/// Runs the job in `file` and writes the records.
///
/// # Errors
///
/// Fails if a file can't be read or written.
pub async fn run_job(file: &Path) -> miette::Result<()> {
    let text = std::fs::read(file).into_diagnostic()?;
    let job: CallerJob = serde_json::from_slice(&text).into_diagnostic()?;
    let length = Duration::from_millis(job.length_ms);
    // Each process of a run draws different calls, and the same ones in each repetition.
    let seed = job.seed.wrapping_mul(1_000).wrapping_add(job.number);
    let plan = Plan::new(&KINDS, job.rate_per_s, length, seed);
    let run = format!("s{}-{}", job.seed, job.number);
    let caller = Caller {
        client: Client::default(),
        system: SystemUnderTest::Nodes(EntryNodes::new(job.entries.clone())),
        kinds: KINDS.to_vec(),
        run_id: run.clone(),
        retry_policy: RETRY_POLICY,
        timeout: TIMEOUT,
        grace: TIMEOUT_GRACE,
    };
    let load = OpenLoop::run(plan, Arc::new(caller));
    let irregular = irregular::send_requests(&job.entries, &run, length, seed);
    let crashing = crashing::send_requests(&job.entries, &run, length, job.seed);
    let downloads = downloads::fetch(&job, &run, length);
    let (load, irregular, (), downloads) = tokio::join!(load, irregular, crashing, downloads);
    let irregular = serde_json::to_vec(&irregular).into_diagnostic()?;
    std::fs::write(&job.irregular, irregular).into_diagnostic()?;
    let out = File::create(&job.records).into_diagnostic()?;
    let mut out = BufWriter::new(out);
    for record in load.records.iter().chain(&downloads) {
        serde_json::to_writer(&mut out, record).into_diagnostic()?;
        out.write_all(b"\n").into_diagnostic()?;
    }
    out.flush().into_diagnostic()
}

/// Reads the counts of abandoned and pipelined requests that a caller process wrote.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn read_irregular(file: &Path) -> miette::Result<IrregularCallStats> {
    let text = std::fs::read(file).into_diagnostic()?;
    serde_json::from_slice(&text).into_diagnostic()
}

/// A call record as it is stored in the file.
#[derive(Debug, Deserialize)]
struct StoredRecord {
    id: String,
    key: Option<String>,
    attempt: u32,
    kind: String,
    entry: Option<SocketAddr>,
    sent_us: u64,
    ended_us: u64,
    latency: Duration,
    status: Option<u16>,
    ending: Ending,
    detail: String,
}

/// Reads the call records that a caller process wrote.
///
/// # Errors
///
/// Fails if the file can't be read, or a line isn't a valid record.
pub fn read_records(file: &Path) -> miette::Result<Vec<CallRecord>> {
    let lines = BufReader::new(File::open(file).into_diagnostic()?).lines();
    let records = lines.map(|line| {
        let line = line.into_diagnostic()?;
        let stored: StoredRecord = serde_json::from_str(&line).into_diagnostic()?;
        to_call_record(stored)
    });
    records.collect()
}

fn to_call_record(stored: StoredRecord) -> miette::Result<CallRecord> {
    let mut kinds = KINDS.iter().chain([&DOWNLOAD]);
    let kind = kinds.find(|kind| kind.name == stored.kind);
    let kind = kind.ok_or_else(|| miette!("unknown call kind {}", stored.kind))?;
    Ok(CallRecord {
        id: stored.id,
        key: stored.key,
        attempt: stored.attempt,
        kind: kind.name,
        class: kind.class,
        weight: kind.weight,
        idempotent: kind.idempotent,
        entry: stored.entry,
        sent_us: stored.sent_us,
        ended_us: stored.ended_us,
        latency: stored.latency,
        status: stored.status,
        ending: stored.ending,
        detail: stored.detail,
    })
}
