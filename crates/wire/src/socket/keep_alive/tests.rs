use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::keep_alive;

/// How long a connection may stay silent unnoticed. Nodes count as in touch again 3 s
/// after it fell silent, and what was missed has to reach all of them within these.
const NOTICED_WITHIN: Duration = Duration::from_secs(2);

/// Guards against a change that is missed for long on a connection that fell silent.
#[tokio::test]
async fn silent_connection_is_noticed_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let stream = TcpStream::connect(addr).await.expect("a connection");
    keep_alive(&stream).expect("options");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let idle = socket.tcp_keepalive_time().expect("an option");
    let every = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    let noticed = idle + every * probes;
    assert!(noticed <= NOTICED_WITHIN, "silent for {noticed:?}");
    let unacknowledged = socket.tcp_user_timeout().expect("an option");
    let unacknowledged = unacknowledged.expect("a limit");
    assert!(
        unacknowledged <= NOTICED_WITHIN,
        "sent for {unacknowledged:?}"
    );
}
