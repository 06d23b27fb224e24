//! The node's program: settings, logs, signals and the exit code.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use miette::Report;
use tokio::runtime::Builder;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;

use crate::Adapter;
use crate::Node;
use crate::RunningNode;
use crate::log::LogSink;
use crate::log::StateWriter;
use crate::settings::LogFormat;
use crate::settings::LogSettings;
use crate::settings::SettingsFile;

/// How often the settings file is looked at: it may change without a signal,
/// and what it says has to be in force within two seconds.
const LOOK_AT_SETTINGS: Duration = Duration::from_secs(1);

/// The exit code of a node that ended on a signal but cut requests.
const EXIT_CUT: u8 = 3;

/// Runs the node of a settings file until a signal stops it, as the program of
/// that name does; any other program may do so in a process of its own.
///
/// The exit code is 3 if the stop cut requests, and 1 if the node failed.
pub fn run(settings: &Path) -> ExitCode {
    run_with(settings, Adapter::default())
}

/// The same on the platform of an adapter.
pub fn run_with(settings: &Path, adapter: Adapter) -> ExitCode {
    match run_to_end(settings, adapter) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a node to its end; returns how many requests that cut.
fn run_to_end(settings: &Path, adapter: Adapter) -> miette::Result<u64> {
    let (file, settings) = SettingsFile::open(settings)?;
    let sink = start_log(settings.log)?;
    let adapter = Adapter {
        log: sink.clone(),
        ..adapter
    };
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| miette::miette!("no runtime for signals: {err}"))?;
    let ended = runtime.block_on(async {
        // Before the node starts, so that a signal that comes early is kept.
        let signals = Signals::new().map_err(|err| miette::miette!("no signals: {err}"))?;
        let cancel = CancellationToken::new();
        let node = Node::start_with(settings, adapter, cancel.clone()).map_err(report)?;
        log_start(&node);
        until_end(&node, signals, file, cancel)
            .await
            .map_err(report)
    });
    sink.flush();
    ended
}

/// Tells where the node listens, with the ports that port 0 became.
fn log_start(node: &RunningNode) {
    let addrs = node.addrs();
    tracing::info!(
        node = %node.settings().instance,
        ingress = %addrs.ingress,
        egress = %addrs.egress,
        traffic = %addrs.traffic,
        control = %addrs.control,
        admin = %addrs.admin,
        "started",
    );
}

/// Waits for a signal, then for a stop without a cut; a second signal ends
/// the node at once.
async fn until_end(
    node: &RunningNode,
    mut signals: Signals,
    mut file: SettingsFile,
    cancel: CancellationToken,
) -> sassafrasspool_core::Result<u64> {
    loop {
        tokio::select! {
            () = signals.stop.next() => break,
            ended = node.ended() => return ended.map(|report| report.cut),
            _ = signals.reload.recv() => {
                tracing::info!("told to read the settings again");
                reload(node, &mut file).await;
            }
            () = tokio::time::sleep(LOOK_AT_SETTINGS) => reload(node, &mut file).await,
        }
    }
    tracing::info!("told to stop: draining");
    let stopping = node.stop();
    tokio::pin!(stopping);
    let report = tokio::select! {
        report = &mut stopping => report?,
        () = signals.stop.next() => {
            tracing::warn!("told to stop again: ending at once");
            cancel.cancel();
            stopping.await?
        }
    };
    tracing::info!(cut = report.cut, "stopped");
    Ok(report.cut)
}

/// Takes over settings that have changed; refused ones leave all as it was.
async fn reload(node: &RunningNode, file: &mut SettingsFile) {
    match file.reload_if_changed() {
        None => {}
        Some(Ok(settings)) => {
            let fixed = node.reload(&settings).await;
            tracing::info!(
                service = %settings.service,
                seeds = settings.seeds.len(),
                wait_for_restart = fixed.join(", "),
                "settings have changed",
            );
        }
        Some(Err(err)) => {
            let reason = format!("{:?}", Report::new(err));
            tracing::error!(reason, "settings refused, the former stay in force");
        }
    }
}

/// The signals that a process is sent.
#[derive(Debug)]
struct Signals {
    stop: StopSignals,
    /// The settings have changed. Without a handler it would end the process.
    reload: Signal,
}

/// The signals that ask a process to stop.
#[derive(Debug)]
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            stop: StopSignals {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            reload: signal(SignalKind::hangup())?,
        })
    }
}

impl StopSignals {
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Writes log lines to standard output, within the settings' budget.
fn start_log(log: LogSettings) -> miette::Result<LogSink> {
    let sink = LogSink::start(log.bytes_per_s, std::io::stdout())
        .map_err(|err| miette::miette!("no thread for the log: {err}"))?;
    // The library of the messages between nodes writes a line for each
    // connection that ends; these are counted instead.
    let level = log.level.as_str();
    let filter = EnvFilter::new(format!("{level},tarpc=off"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_writer(StateWriter(sink.clone()));
    match log.format {
        LogFormat::Text => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
    Ok(sink)
}

fn report(err: sassafrasspool_core::Error) -> Report {
    miette::miette!("{err}")
}
