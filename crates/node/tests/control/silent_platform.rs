//! A platform that accepts reads but answers none, over sockets.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use sassafrasspool_node::Settings;
use sassafrasspool_standin::TargetSettings;

use crate::common::CATALOGUE;
use crate::support::Fleet;

/// Sets the intervals of a deployment in which reads of the platform are expensive.
fn reduce_reads(settings: &mut Settings) {
    settings.spread.config.watch = Duration::from_secs(10);
    settings.spread.config.contact_bound = Duration::from_secs(10);
    settings.spread.config.rest = Duration::from_millis(500);
}

/// How long the platform answers no reads.
const SILENCE: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct SilenceCase {
    /// Time from the first change to the second, after which the silence begins.
    change_interval: Duration,
    /// Bound on the time from a publication after the silence until it is in force.
    max_delay: Duration,
}

/// Guards against a change that is missed because of reads that were never answered.
#[rstest]
// A watch that was sent before the silence is answered as soon as the platform recovers.
#[case::after_a_single_change(SilenceCase {
    change_interval: Duration::from_secs(3),
    max_delay: Duration::from_secs(2),
})]
// Nodes pause between changes in quick succession. A node has 3 s to detect the recovery,
// and the change then has 2 s to come into force.
#[case::after_changes_in_a_row(SilenceCase {
    change_interval: Duration::from_secs(1),
    max_delay: Duration::from_secs(5),
})]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_after_a_silence_of_the_platform_is_in_force_in_time(#[case] case: SilenceCase) {
    let fleet = Fleet::start_with(3, &TargetSettings::default(), reduce_reads).await;
    let first = fleet.publish(CATALOGUE);
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    tokio::time::sleep(case.change_interval).await;

    let second = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/desk,"));
    fleet.wait_until_in_force(second).await;
    fleet.platform.set_silent(true);
    tokio::time::sleep(SILENCE).await;
    fleet.platform.set_silent(false);

    let third = fleet.publish(&CATALOGUE.replace("/workshop,", "/workshop/yard,"));
    let published = Instant::now();
    fleet.wait_until_in_force(third).await;
    let took = published.elapsed();
    assert!(took <= case.max_delay, "{took:?}: {case:?}");
    fleet.cancel.cancel();
}
