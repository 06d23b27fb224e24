use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::enable_keep_alive;

/// Bounds the time until a dead connection is detected. Nodes count as in contact again
/// 3 s after its last packet, and the missed changes have to reach all nodes within this
/// time.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(2);

/// Guards against a change that is missed for a long time because the connection to the
/// platform stopped delivering packets.
#[tokio::test]
async fn dead_connection_is_detected_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let stream = TcpStream::connect(addr).await.expect("a connection");
    enable_keep_alive(&stream).expect("options");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let idle = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    let detected = idle + interval * probes;
    assert!(
        detected <= MAX_DETECTION_TIME,
        "detected after {detected:?}"
    );
    let unacknowledged = socket.tcp_user_timeout().expect("an option");
    let unacknowledged = unacknowledged.expect("a limit");
    assert!(
        unacknowledged <= MAX_DETECTION_TIME,
        "unacknowledged for {unacknowledged:?}"
    );
}
