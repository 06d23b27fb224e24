//! Which nodes are asked, and what came of it: every node gives an answer or
//! is listed as unreachable.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use futures::Stream;
use futures::StreamExt;
use futures::stream;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;

pub(crate) use self::answers::Answers;
pub(crate) use self::answers::Unreachable;

mod answers;
#[cfg(test)]
mod tests;

/// Nodes that are asked at the same time.
const PARALLEL: usize = 64;

/// The admin addresses of the nodes to ask, each once, in the order given.
///
/// # Invariants
///
/// At least one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Nodes(Vec<SocketAddr>);

impl Nodes {
    /// Reads the list of `--nodes` or the file of `--nodes-file`, or both.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, something isn't an address or there
    /// is none.
    pub(crate) fn of(list: Option<&str>, file: Option<&Path>) -> Result<Nodes> {
        let mut found = Vec::new();
        for part in list.unwrap_or_default().split(',') {
            add(&mut found, part)?;
        }
        if let Some(file) = file {
            for line in read(file)?.lines() {
                let part = line.split('#').next().unwrap_or_default();
                add(&mut found, part)?;
            }
        }
        if found.is_empty() {
            return Err(refused("name nodes by --nodes or --nodes-file"));
        }
        // INVARIANT: An empty list was refused above.
        Ok(Nodes(found))
    }

    /// The nodes, in the order given.
    pub(crate) fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.0.iter().copied()
    }

    /// Asks every node, some at a time; answers come in the order of nodes.
    pub(crate) async fn ask<T, F>(&self, ask: impl Fn(SocketAddr) -> F) -> Answers<T>
    where
        F: Future<Output = Result<T>>,
    {
        self.asking(ask).collect().await
    }

    fn asking<T, F>(
        &self,
        ask: impl Fn(SocketAddr) -> F,
    ) -> impl Stream<Item = (SocketAddr, Result<T>)>
    where
        F: Future<Output = Result<T>>,
    {
        let asked = stream::iter(self.0.clone()).map(move |node| {
            let answer = ask(node);
            async move { (node, answer.await) }
        });
        asked.buffered(PARALLEL)
    }
}

fn add(found: &mut Vec<SocketAddr>, part: &str) -> Result<()> {
    let part = part.trim();
    if part.is_empty() {
        return Ok(());
    }
    let node = part.parse().map_err(|cause| {
        let told = format!("{part:?} isn't an address such as 10.0.0.7:9003");
        refused(&told).with_cause(cause)
    })?;
    if !found.contains(&node) {
        found.push(node);
    }
    Ok(())
}

fn read(file: &Path) -> Result<String> {
    let told = || refused(&format!("{} can't be read", file.display()));
    fs::read_to_string(file).map_err(|cause| told().with_cause(cause))
}

fn refused(reason: &str) -> Error {
    Error::new(Step::Check, reason)
}
