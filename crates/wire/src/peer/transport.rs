//! Framed transport over a counted connection.

use std::sync::Arc;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use serde::Deserialize;
use serde::Serialize;
use tarpc::serde_transport::Transport;
use tokio::net::TcpStream;
use tokio_serde::formats::Bincode;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use super::MAX_MESSAGE_BYTES;
use crate::CountedStream;
use crate::SocketBytes;

/// The largest frame in bytes: an uncompressed message of the largest size and its
/// envelope.
pub(super) const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + 4 * 1024;

/// A transport of frames of bounded size over a connection.
///
/// If a peer announces a larger frame, its connection is closed before any byte of the
/// frame is stored.
pub(super) fn framed<Item, SinkItem>(
    io: TcpStream,
    bytes: Arc<SocketBytes>,
) -> Result<Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    // Without `TCP_NODELAY`, a small message waits for the previous one's acknowledgement.
    io.set_nodelay(true)
        .map_err(|cause| Error::new(Step::Connect, "can't set TCP_NODELAY").with_cause(cause))?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = Framed::new(CountedStream::new(io, bytes), codec);
    Ok(tarpc::serde_transport::new(framed, Bincode::default()))
}
