//! Runs a stand-in as a process, for demos and benchmarks over real sockets.

mod flags;

use std::net::SocketAddr;

use sassafrasspool_core::Error;
use sassafrasspool_core::Step;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::read_settings;
use serde::Serialize;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use crate::flags::Standin;
use crate::flags::StandinCmd;

/// The bound addresses, which `--print-addrs` prints as a line of JSON.
#[derive(Debug, Serialize)]
struct Addrs {
    addr: SocketAddr,
    admin: SocketAddr,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let flags = Standin::from_env_or_exit();
    run(flags).await.map_err(miette::Report::from_err)
}

async fn run(flags: Standin) -> Result<(), Error> {
    let cancel = cancel_on_signal()?;
    match flags.subcommand {
        StandinCmd::Platform(cmd) => {
            let cfg = read_settings(&cmd.settings)?;
            let platform = Platform::start(cfg, cancel).await?;
            print_addrs(cmd.print_addrs, platform.addr(), platform.admin_addr());
            platform.stopped().await;
        }
        StandinCmd::Target(cmd) => {
            let cfg = read_settings(&cmd.settings)?;
            let target = Target::start(cfg, cancel).await?;
            print_addrs(cmd.print_addrs, target.addr(), target.admin_addr());
            target.stopped().await;
        }
    }
    Ok(())
}

/// Returns a token that is cancelled on SIGTERM or SIGINT.
fn cancel_on_signal() -> Result<CancellationToken, Error> {
    let fail = |e| Error::new(Step::Settings, "cannot register signal handlers").with_cause(e);
    let mut term = signal(SignalKind::terminate()).map_err(fail)?;
    let mut int = signal(SignalKind::interrupt()).map_err(fail)?;
    let cancel = CancellationToken::new();
    let cancelled = cancel.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        cancelled.cancel();
    });
    Ok(cancel)
}

fn print_addrs(enabled: bool, addr: SocketAddr, admin: SocketAddr) {
    if !enabled {
        return;
    }
    match serde_json::to_string(&Addrs { addr, admin }) {
        Ok(line) => println!("{line}"),
        Err(err) => tracing::warn!(%err, "cannot print the addresses"),
    }
}
