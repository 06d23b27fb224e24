use std::convert::Infallible;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::serve_until_closed;
use crate::traffic::bounds::CLOSE_DELAY;

/// The number of connections.
const CALLERS: usize = 16;

async fn answer(_: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(Response::new(Full::new(Bytes::from_static(b"answered"))))
}

/// Guards against closing a connection whose request has arrived but is unread when the
/// node stops.
#[tokio::test]
async fn answers_a_request_that_arrived_before_the_close() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let addr = listener.local_addr().expect("read the address");
    let [closing, abort] = [(); 2].map(|()| CancellationToken::new());
    let mut served = JoinSet::new();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(TcpStream::connect(addr).expect("connect"));
        let (stream, _) = listener.accept().await.expect("accept a connection");
        let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
        let (closing, abort) = (closing.clone(), abort.clone());
        served.spawn(async move { serve_until_closed(&closing, &abort, conn).await });
    }
    tokio::time::sleep(2 * CLOSE_DELAY).await;
    // The requests are sent and the close begins before the connections' tasks run again.
    for caller in &mut callers {
        caller
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .expect("send the request");
    }
    closing.cancel();
    served.join_all().await;
    for mut caller in callers {
        let mut text = String::new();
        caller
            .read_to_string(&mut text)
            .expect("read until the connection closes");
        assert!(text.ends_with("answered"), "{text:?}");
    }
}
