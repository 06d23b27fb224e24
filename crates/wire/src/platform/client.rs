//! Client of the platform's native protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::header::ACCEPT_ENCODING;
use sassafrasspool_core::Epoch;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;

use super::HttpGetClient;
use super::MAX_VALUE_BYTES;
use super::Source;
use super::SourceRequest;
use super::response;
use crate::SocketBytes;

/// Timeout of a response, in addition to the wait of the long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the platform over at most one connection per stream.
#[derive(Debug)]
pub struct PlatformClient {
    streams: [HttpGetClient; Stream::ALL.len()],
}

impl PlatformClient {
    /// A client of the platform at `addr`. The bytes of its connections are counted in
    /// `bytes`.
    pub fn new(addr: SocketAddr, bytes: Arc<SocketBytes>) -> PlatformClient {
        let client = || HttpGetClient::new(addr, Arc::clone(&bytes), MAX_VALUE_BYTES);
        PlatformClient {
            streams: [client(), client()],
        }
    }

    /// Reads a stream once. The platform counts one call.
    ///
    /// With `after`, the call is a long poll: the platform delays the response for up to
    /// `wait` until it has something newer. Failures are returned as results, since the
    /// reader continues with the version in force.
    pub async fn read(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> SourceResult {
        let result = self.try_read(stream, after, wait).await;
        result.unwrap_or_else(|err| SourceResult::Failed {
            reason: err.to_string(),
        })
    }

    async fn try_read(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<SourceResult> {
        let client = &self.streams[stream as usize];
        let mut uri = format!("/v1/{stream}");
        if let Some(after) = after {
            let (number, wait_ms) = (after.get(), wait.as_millis());
            uri.push_str(&format!("?after={number}&wait_ms={wait_ms}"));
            if after.epoch() != Epoch::FIRST {
                uri.push_str(&format!("&epoch={}", after.epoch()));
            }
        }
        let coding = (
            ACCEPT_ENCODING,
            HeaderValue::from_static(response::CONTENT_CODING),
        );
        let res = client
            .get(&uri, Some(coding), wait + RESPONSE_TIMEOUT)
            .await?;
        response::decode(stream, &res).map_err(|err| err.at_peer(client.addr()))
    }
}

impl Source for PlatformClient {
    fn read(&self, req: SourceRequest) -> BoxFuture<'_, SourceResult> {
        PlatformClient::read(self, req.stream, req.after, req.wait).boxed()
    }
}
