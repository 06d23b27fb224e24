//! The nodes to query, and concurrent queries of all of them: each node is
//! listed with its answer or as unreachable.

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

/// The most nodes that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// The admin addresses of the nodes to query, without duplicates, in the order
/// given.
///
/// # Invariants
///
/// Contains at least one address.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Nodes(Vec<SocketAddr>);

impl Nodes {
    /// Reads the addresses from the value of `--nodes`, from the file of
    /// `--nodes-file`, or from both.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, a part isn't an address or no address
    /// is given.
    pub(crate) fn from_flags(list: Option<&str>, file: Option<&Path>) -> Result<Nodes> {
        let mut found = Vec::new();
        for part in list.unwrap_or_default().split(',') {
            add_address(&mut found, part)?;
        }
        if let Some(file) = file {
            for line in read_file(file)?.lines() {
                let part = line.split('#').next().unwrap_or_default();
                add_address(&mut found, part)?;
            }
        }
        if found.is_empty() {
            return Err(invalid("name nodes by --nodes or --nodes-file"));
        }
        // INVARIANT: An empty list was rejected above.
        Ok(Nodes(found))
    }

    /// The nodes, in the order given.
    pub(crate) fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.0.iter().copied()
    }

    /// Queries every node, at most [`MAX_CONCURRENT_QUERIES`] at a time, and
    /// returns the answers in the order of the nodes.
    pub(crate) async fn query_all<T, F>(&self, query: impl Fn(SocketAddr) -> F) -> Answers<T>
    where
        F: Future<Output = Result<T>>,
    {
        self.answers(query).collect().await
    }

    fn answers<T, F>(
        &self,
        query: impl Fn(SocketAddr) -> F,
    ) -> impl Stream<Item = (SocketAddr, Result<T>)>
    where
        F: Future<Output = Result<T>>,
    {
        let queries = stream::iter(self.0.clone()).map(move |node| {
            let answer = query(node);
            async move { (node, answer.await) }
        });
        queries.buffered(MAX_CONCURRENT_QUERIES)
    }
}

fn add_address(found: &mut Vec<SocketAddr>, part: &str) -> Result<()> {
    let part = part.trim();
    if part.is_empty() {
        return Ok(());
    }
    let node = part.parse().map_err(|cause| {
        let reason = format!("{part:?} isn't an address such as 10.0.0.7:9003");
        invalid(&reason).with_cause(cause)
    })?;
    if !found.contains(&node) {
        found.push(node);
    }
    Ok(())
}

fn read_file(file: &Path) -> Result<String> {
    let error = || invalid(&format!("{} can't be read", file.display()));
    fs::read_to_string(file).map_err(|cause| error().with_cause(cause))
}

fn invalid(reason: &str) -> Error {
    Error::new(Step::Check, reason)
}
