//! A platform that falls silent, over sockets.

use std::time::Duration;
use std::time::Instant;

use sassafrasspool_node::Settings;
use sassafrasspool_standin::TargetSettings;

use crate::common::CATALOGUE;
use crate::support::Fleet;

/// How long a change may take until it is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

/// As deployed where reads are dear.
fn few_reads(settings: &mut Settings) {
    settings.spread.config.watch = Duration::from_secs(10);
    settings.spread.config.contact_bound = Duration::from_secs(10);
    settings.spread.config.rest = Duration::from_millis(500);
}

// A route is added, and half a second later the platform falls silent for two seconds.
// Whoever asks the next route finds it refused for 15 s: all nodes paused after the
// first change, and asked the platform for the next while it was silent. It is back,
// never answers those reads, and they are waited for as watches are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_after_a_silence_is_in_force_in_time() {
    let fleet = Fleet::start_with(3, &TargetSettings::default(), few_reads).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let second = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/desk,"));
    fleet.until_in_force(second).await;
    fleet.platform.set_silent(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.platform.set_silent(false);

    let third = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/yard,"));
    let published = Instant::now();
    fleet.until_in_force(third).await;
    let took = published.elapsed();
    assert!(took <= IN_FORCE, "{took:?}");
    fleet.cancel.cancel();
}
