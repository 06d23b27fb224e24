//! A target that answers every request with the same bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A target that answers every request with the same bytes and closes the connection.
#[derive(Debug)]
pub(crate) struct RawTarget {
    pub(crate) addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl RawTarget {
    /// Starts the target, which runs until the test ends.
    pub(crate) async fn start(answer: &'static [u8]) -> RawTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let requests = Arc::<AtomicUsize>::default();
        let received = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_once(stream, answer, Arc::clone(&received)));
            }
        });
        RawTarget { addr, requests }
    }

    /// The number of requests received so far.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn answer_once(mut stream: TcpStream, answer: &[u8], requests: Arc<AtomicUsize>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            // A probe whether the target accepts connections.
            Err(_) => return,
        }
    }
    requests.fetch_add(1, Ordering::Relaxed);
    // The node may have closed the connection already.
    let _ = stream.write_all(answer).await;
    let _ = stream.shutdown().await;
    // Closing with unread bytes would reset the connection.
    let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
}
