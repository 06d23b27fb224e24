//! Subsetting: the endpoints of a service that one node sends to.

use super::candidate::Candidate;
use super::rendezvous::Score;
use crate::RouteSettings;

/// Moves a node's subset of a service to the front and returns its size.
///
/// The subset is chosen by rendezvous hashing: it stays the same as long as the list does,
/// differs from node to node so that all endpoints get their share, and changes by one when
/// one endpoint is added or removed. Some of its endpoints are in other failure domains, so
/// that connections remain if the node's own domain is lost. The subset is ordered by tier,
/// and so is the rest.
pub(super) fn arrange_subset(
    candidates: &mut [Candidate],
    node: Score,
    cfg: &RouteSettings,
) -> usize {
    let size = candidates.len().min(cfg.subset_size.max(1));
    candidates.sort_by_key(|c| (c.tier, std::cmp::Reverse(c.score.combine(node))));
    let near = candidates.iter().filter(|c| c.tier == 0).count();
    let far = candidates.len() - near;
    let kept_far = far.min(cfg.subset_other_domains.min(size));
    let kept_near = near.min(size - kept_far);
    // Places that the node's own domain can't fill go to other domains.
    let kept_far = size - kept_near;
    candidates[kept_near..near + kept_far].rotate_left(near - kept_near);
    size
}
