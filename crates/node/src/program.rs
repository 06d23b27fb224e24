//! The node as a program: settings file, log, signals and exit code.

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

/// How often the settings file is read. It may change without a signal, and its
/// changes have to be in force within two seconds.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The exit code of a node that was stopped by a signal and cut requests.
const EXIT_CODE_REQUESTS_CUT: u8 = 3;

/// Runs a node with the settings file `settings` until a signal stops it. The
/// program `sassafrasspool-node` does only this; other programs may call it in a
/// process of their own.
///
/// The exit code is 0 after a clean stop, 3 if the stop cut requests, and 1 if the
/// node failed.
pub fn run(settings: &Path) -> ExitCode {
    run_with(settings, Adapter::default())
}

/// Runs a node as [`run`] does, with a platform adapter.
pub fn run_with(settings: &Path, adapter: Adapter) -> ExitCode {
    match run_to_end(settings, adapter) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CODE_REQUESTS_CUT),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a node until it has stopped; returns how many requests were cut.
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
        .map_err(|err| miette::miette!("can't create the runtime for signals: {err}"))?;
    let ended = runtime.block_on(async {
        // The handlers are installed before the node starts, so that an early signal
        // isn't lost.
        let signals = Signals::new()
            .map_err(|err| miette::miette!("can't install signal handlers: {err}"))?;
        let cancel = CancellationToken::new();
        let node = Node::start_with(settings, adapter, cancel.clone()).map_err(to_report)?;
        log_start(&node);
        run_until_stopped(&node, signals, file, cancel)
            .await
            .map_err(to_report)
    });
    sink.flush();
    ended
}

/// Logs the bound addresses of the node; port 0 is replaced by the assigned port.
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

/// Reloads changed settings until a signal to stop comes, then drains the node; a
/// second signal stops it at once. Returns how many requests were cut.
async fn run_until_stopped(
    node: &RunningNode,
    mut signals: Signals,
    mut file: SettingsFile,
    cancel: CancellationToken,
) -> sassafrasspool_core::Result<u64> {
    loop {
        tokio::select! {
            () = signals.stop.recv() => break,
            ended = node.wait_until_ended() => return ended.map(|report| report.requests_cut),
            _ = signals.reload.recv() => {
                tracing::info!("SIGHUP received: reading the settings file");
                reload(node, &mut file).await;
            }
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => reload(node, &mut file).await,
        }
    }
    tracing::info!("told to stop: draining");
    let stopping = node.stop();
    tokio::pin!(stopping);
    let report = tokio::select! {
        report = &mut stopping => report?,
        () = signals.stop.recv() => {
            tracing::warn!("second stop signal received: stopping at once");
            cancel.cancel();
            stopping.await?
        }
    };
    tracing::info!(cut = report.requests_cut, "stopped");
    Ok(report.requests_cut)
}

/// Applies the settings file if it has changed; invalid settings change nothing.
async fn reload(node: &RunningNode, file: &mut SettingsFile) {
    match file.reload_if_changed() {
        None => {}
        Some(Ok(settings)) => {
            let pending = node.reload(&settings).await;
            tracing::info!(
                service = %settings.service,
                seeds = settings.seeds.len(),
                wait_for_restart = pending.join(", "),
                "settings have changed",
            );
        }
        Some(Err(err)) => {
            let reason = format!("{:?}", Report::new(err));
            tracing::error!(reason, "settings refused, the former stay in force");
        }
    }
}

/// The signals that the process handles.
#[derive(Debug)]
struct Signals {
    stop: StopSignals,
    /// SIGHUP: the settings have changed. Without a handler it would terminate the
    /// process.
    reload: Signal,
}

/// The signals that stop the process: SIGTERM and SIGINT.
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
    /// Waits for one of the signals.
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Starts to write log lines to standard output, within the byte rate of the
/// settings.
fn start_log(log: LogSettings) -> miette::Result<LogSink> {
    let sink = LogSink::start(log.bytes_per_s, std::io::stdout())
        .map_err(|err| miette::miette!("can't start the log thread: {err}"))?;
    // tarpc, which carries the messages between nodes, logs a line for each
    // connection that ends. Such connections are counted in metrics instead.
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

fn to_report(err: sassafrasspool_core::Error) -> Report {
    miette::miette!("{err}")
}
