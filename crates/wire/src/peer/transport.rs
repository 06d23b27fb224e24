//! Frames on a counted connection.

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
use crate::Counted;
use crate::SocketBytes;

/// The largest frame: a message that doesn't compress, and its envelope.
pub(super) const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + 4 * 1024;

/// Puts frames of bounded size on a connection.
///
/// A peer that announces a larger frame loses its connection before a byte of
/// the frame is stored.
pub(super) fn framed<Item, SinkItem>(
    io: TcpStream,
    bytes: Arc<SocketBytes>,
) -> Result<Transport<Counted, Item, SinkItem, Bincode<Item, SinkItem>>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    // Small messages must not wait for the acknowledgement of the one before.
    io.set_nodelay(true)
        .map_err(|cause| Error::new(Step::Connect, "can't set up").with_cause(cause))?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let framed = Framed::new(Counted::new(io, bytes), codec);
    Ok(tarpc::serde_transport::new(framed, Bincode::default()))
}
