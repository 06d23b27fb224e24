//! The nodes' client of the platform, against the stand-in.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_wire::SocketBytes;
use sassafrasspool_wire::platform::PlatformClient;
use tokio_util::sync::CancellationToken;

/// What the platform does, and the most bytes that a read may then take.
#[derive(Debug)]
struct Coding {
    compress: bool,
    at_most: u64,
}

#[rstest]
#[case::whole(Coding { compress: false, at_most: 102_000 })]
#[case::compressed(Coding { compress: true, at_most: 2_000 })]
#[tokio::test]
async fn a_value_arrives_the_same_in_either_coding(#[case] case: Coding) {
    let cfg = PlatformSettings {
        compress: case.compress,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(cfg, CancellationToken::new())
        .await
        .unwrap();
    let published = "# text\n".repeat(14_286);
    platform.publish_catalogue(&published).unwrap();

    let bytes = Arc::new(SocketBytes::default());
    let client = PlatformClient::new(platform.addr(), Arc::clone(&bytes));
    let read = client.read(Stream::Catalogue, None, Duration::ZERO).await;
    let SourceResult::Catalogue { text, .. } = read else {
        panic!("{read:?}");
    };
    assert_eq!(text, published);
    assert!(bytes.read() <= case.at_most, "{} bytes", bytes.read());
    platform.stop().await;
}
