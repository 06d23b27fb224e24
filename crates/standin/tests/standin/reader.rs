//! Tests the nodes' platform client against the stand-in.

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

/// Whether the platform compresses, and the maximum size of a read in bytes.
#[derive(Debug)]
struct CodingCase {
    compress: bool,
    max_bytes: u64,
}

#[rstest]
#[case::uncompressed(CodingCase { compress: false, max_bytes: 102_000 })]
#[case::compressed(CodingCase { compress: true, max_bytes: 2_000 })]
#[tokio::test]
async fn a_value_is_the_same_with_and_without_compression(#[case] case: CodingCase) {
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
    assert!(bytes.read() <= case.max_bytes, "{} bytes", bytes.read());
    platform.stop().await;
}
