//! Measurement of all figures at one size of an axis.

use std::process::Command;
use std::time::Duration;

use miette::IntoDiagnostic;
use tokio::runtime::Runtime;

use super::Axis;
use super::series::Figure;
use super::series::Form;
use crate::calls;
use crate::control_fleet::FleetOptions;
use crate::control_fleet::Tuning;
use crate::core_cost::CoreCost;
use crate::generate::Shape;
use crate::processes;
use crate::spread;

/// Number of nodes while another size is varied.
const DEFAULT_NODES: usize = 25;

/// Number of nodes in measurements of calls.
const CALL_NODES: usize = 4;

/// Figures with a fixed part that is divided by the number of nodes.
const SHARED_FIGURES: [&str; 2] = ["control bytes/node/change", "CPU us/node/change"];

/// Measures all figures of `axis` at `x`.
///
/// # Errors
///
/// Fails if the run itself fails.
pub(super) fn figures_at(axis: Axis, x: f64, seed: u64) -> miette::Result<Vec<Figure>> {
    let shape = Shape::design_size(seed);
    let count = x as usize;
    match axis {
        Axis::Nodes => nodes_at(count, shape),
        Axis::Processes => processes_at(count, shape),
        Axis::Services => spread_at(
            DEFAULT_NODES,
            Shape {
                services: count,
                ..shape
            },
            1.0,
        ),
        Axis::Endpoints => spread_at(
            DEFAULT_NODES,
            Shape {
                endpoints: count,
                ..shape
            },
            1.0,
        ),
        Axis::ChangeRate => spread_at(DEFAULT_NODES, shape, x),
        Axis::CallRate => calls_at(x, seed),
        Axis::Members => members_at(Shape {
            endpoints: count,
            ..shape
        }),
    }
}

fn spread_at(nodes: usize, shape: Shape, per_s: f64) -> miette::Result<Vec<Figure>> {
    let report = spread::run(&spread::Options {
        fleet: FleetOptions {
            nodes,
            shape,
            naive: false,
            compress: false,
            tuning: Tuning::default(),
        },
        changes: 5,
        change_interval: Duration::from_secs_f64(1.0 / per_s),
        idle_time: Duration::from_secs(5),
    })?;
    Ok(vec![
        figure("convergence, p99, ms", report.convergence_ms.p99),
        figure(
            "control bytes/node/change",
            report.control_bytes_per_node_per_change,
        ),
        figure("messages/node/change", report.messages_per_node_per_change),
        figure(
            "idle control bytes/node/s",
            report.idle_control_bytes_per_node_per_s,
        ),
        figure("source reads/change", report.source_reads_per_change),
        figure("source reads, idle, /s", report.idle_source_reads_per_s),
        figure(
            "source reads at start, peak/s",
            report.start_reads_peak_per_s as f64,
        ),
        figure("CPU us/node/change", report.cpu_us_per_node_per_change),
        figure("CPU us/node/s idle", report.idle_cpu_us_per_node_per_s),
        figure("memory/node, bytes", report.rss_bytes_per_node),
    ])
}

/// The readers' part of a change's cost is divided by the number of nodes.
fn nodes_at(nodes: usize, shape: Shape) -> miette::Result<Vec<Figure>> {
    let mut figures = spread_at(nodes, shape, 1.0)?;
    for figure in &mut figures {
        if SHARED_FIGURES.contains(&figure.name) {
            figure.form = Form::Inverse;
        }
    }
    Ok(figures)
}

fn processes_at(nodes: usize, shape: Shape) -> miette::Result<Vec<Figure>> {
    let runtime = Runtime::new().into_diagnostic()?;
    let cost = runtime.block_on(processes::run(nodes, shape))?;
    Ok(vec![
        figure("resident memory, bytes", cost.rss_bytes),
        figure("own memory, bytes", cost.own_bytes),
        figure("largest resident memory, bytes", cost.rss_bytes_max as f64),
        shared_figure("CPU us/change", cost.cpu_us_per_change),
        figure("CPU us/s idle", cost.idle_cpu_us_per_s),
        shared_figure("control bytes/change", cost.control_bytes_per_change),
        figure("idle control bytes/s", cost.idle_control_bytes_per_s),
    ])
}

fn calls_at(rate: f64, seed: u64) -> miette::Result<Vec<Figure>> {
    let runtime = Runtime::new().into_diagnostic()?;
    let report = runtime.block_on(calls::run(calls::Options {
        nodes: CALL_NODES,
        rate_per_node: rate,
        length: Duration::from_secs(6),
        seed,
        answer_bytes: 1_000,
    }))?;
    Ok(vec![
        figure("CPU us/call, both hops", report.cpu_us_per_call),
        figure("added, p50, ms", report.added_at_percentile_ms.p50),
        figure("added, p99, ms", report.added_at_percentile_ms.p99),
        figure("connections/node", report.connections_per_node as f64),
    ])
}

fn members_at(shape: Shape) -> miette::Result<Vec<Figure>> {
    let cost = core_cost_in_own_process(shape)?;
    Ok(vec![
        figure("reader CPU us/change", cost.reader_us_per_change),
        figure("member CPU us/change", cost.member_us_per_change),
        figure("CPU us/list change", cost.list_us_per_change),
        figure("CPU us/snapshot bound", cost.bind_us),
        figure("CPU us/comparison", cost.sync_us + cost.sync_answer_us),
        figure("CPU us/endpoint state", cost.state_us),
        figure("comparison bytes", cost.sync_bytes as f64),
        figure("announcement bytes", cost.announce_bytes as f64),
        figure("whole list bytes, compressed", cost.list_bytes as f64),
        figure("published list bytes", cost.published_list_bytes as f64),
        figure("state bytes", cost.state_bytes),
    ])
}

/// Runs the verb `core-cost` in a process of its own: memory that an earlier
/// measurement freed would be reused and hide the memory of this one.
fn core_cost_in_own_process(shape: Shape) -> miette::Result<CoreCost> {
    let program = std::env::current_exe().into_diagnostic()?;
    let output = Command::new(program)
        .arg("core-cost")
        .arg("--members")
        .arg(shape.endpoints.to_string())
        .arg("--services")
        .arg(shape.services.to_string())
        .arg("--seed")
        .arg(shape.seed.to_string())
        .output()
        .into_diagnostic()?;
    serde_json::from_slice(&output.stdout).into_diagnostic()
}

fn figure(name: &'static str, value: f64) -> Figure {
    Figure {
        name,
        form: Form::Linear,
        value,
    }
}

/// A figure with a fixed part that is divided by the number of nodes.
fn shared_figure(name: &'static str, value: f64) -> Figure {
    Figure {
        form: Form::Inverse,
        ..figure(name, value)
    }
}
