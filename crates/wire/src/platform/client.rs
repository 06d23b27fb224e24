//! The client of the platform's own protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::header::ACCEPT_ENCODING;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;

use super::HttpGet;
use super::MAX_VALUE_BYTES;
use super::Source;
use super::SourceAsk;
use super::answer;
use crate::SocketBytes;

/// How long an answer may take, beyond the time that the platform was asked
/// to wait for something newer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Reads the platform, over at most one connection for each stream.
#[derive(Debug)]
pub struct PlatformClient {
    streams: [HttpGet; Stream::ALL.len()],
}

impl PlatformClient {
    /// A client of the platform at `addr`, whose bytes are counted in `bytes`.
    pub fn new(addr: SocketAddr, bytes: Arc<SocketBytes>) -> PlatformClient {
        let get = || HttpGet::new(addr, Arc::clone(&bytes), MAX_VALUE_BYTES);
        PlatformClient {
            streams: [get(), get()],
        }
    }

    /// Reads a stream once: one call on the platform's count.
    ///
    /// With `after`, the platform is asked to hold the call up to `wait` until
    /// it has something newer. Whatever goes wrong is a result like others,
    /// since the reader goes on with what it holds.
    pub async fn read(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> SourceResult {
        let read = self.try_read(stream, after, wait).await;
        read.unwrap_or_else(|err| SourceResult::Failed {
            reason: err.to_string(),
        })
    }

    async fn try_read(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<SourceResult> {
        let get = &self.streams[stream as usize];
        let mut uri = format!("/v1/{stream}");
        if let Some(after) = after {
            uri.push_str(&format!("?after={after}&wait_ms={}", wait.as_millis()));
        }
        let coding = (ACCEPT_ENCODING, HeaderValue::from_static(answer::CODING));
        let fetched = get.get(&uri, Some(coding), wait + ANSWER_LIMIT).await?;
        answer::read(stream, &fetched).map_err(|err| err.at_peer(get.addr()))
    }
}

impl Source for PlatformClient {
    fn read(&self, ask: SourceAsk) -> BoxFuture<'_, SourceResult> {
        PlatformClient::read(self, ask.stream, ask.after, ask.wait).boxed()
    }
}
