//! Measurement of node processes.

use std::time::Duration;

use super::ProcessCost;
use super::node_processes::NodeProcesses;
use super::node_processes::ResourceUsage;
use crate::generate::Shape;

/// Timeout for the start of the processes, and for a change to be held by all.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Wait after the start before the processes count as idle.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// How long the idle processes are measured.
const IDLE_TIME: Duration = Duration::from_secs(6);

/// Time after each change before its version is waited for.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of published changes.
const CHANGES: u32 = 6;

/// Starts node processes, measures them while idle and during changes, and
/// ends them.
///
/// # Errors
///
/// Fails if a process can't be started or exits, or if a change isn't held by
/// all nodes in time.
pub async fn run(nodes: usize, shape: Shape) -> miette::Result<ProcessCost> {
    let mut processes = NodeProcesses::start(nodes, shape).await?;
    let first = processes.publisher.expected_facts()?.catalogue;
    processes.wait_until_held(first, TIMEOUT).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let start = processes.usage().await?;
    tokio::time::sleep(IDLE_TIME).await;
    let idle = processes.usage().await?;
    for _ in 0..CHANGES {
        let NodeProcesses {
            publisher,
            platform,
            ..
        } = &mut processes;
        let version = publisher.publish_change(platform)?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
        processes.wait_until_held(version, TIMEOUT).await?;
    }
    let end = processes.usage().await?;
    Ok(cost(processes.len(), shape, [start, idle, end]))
}

fn cost(nodes: usize, shape: Shape, [start, idle, end]: [ResourceUsage; 3]) -> ProcessCost {
    let count = nodes as f64;
    let seconds =
        |from: &ResourceUsage, to: &ResourceUsage| to.at.duration_since(from.at).as_secs_f64();
    let cpu_us = |from: &ResourceUsage, to: &ResourceUsage| {
        to.cpu.saturating_sub(from.cpu).as_secs_f64() * 1e6
    };
    let bytes = |from: &ResourceUsage, to: &ResourceUsage| {
        to.control_bytes.saturating_sub(from.control_bytes) as f64
    };
    let idle_cpu = cpu_us(&start, &idle) / seconds(&start, &idle) / count;
    let idle_bytes = bytes(&start, &idle) / seconds(&start, &idle) / count;
    let changing = seconds(&idle, &end);
    let per_change = |all: f64, idle_per_s: f64| (all / count - idle_per_s * changing).max(0.0);
    ProcessCost {
        nodes,
        services: shape.services,
        endpoints: shape.endpoints,
        rss_bytes: end.rss_bytes as f64 / count,
        own_bytes: end.anonymous_bytes as f64 / count,
        rss_bytes_max: end.rss_bytes_max,
        idle_cpu_us_per_s: idle_cpu,
        cpu_us_per_change: per_change(cpu_us(&idle, &end), idle_cpu) / f64::from(CHANGES),
        idle_control_bytes_per_s: idle_bytes,
        control_bytes_per_change: per_change(bytes(&idle, &end), idle_bytes) / f64::from(CHANGES),
    }
}
