//! The endpoints of a service that one node sends to.

use super::candidate::Candidate;
use super::rendezvous::Score;
use crate::RouteSettings;

/// Puts a node's subset of a service first and returns its size.
///
/// The subset is drawn by rendezvous hashing: it stays the same as long as the
/// list does, differs from node to node so that all endpoints get their share,
/// and changes by one when one endpoint comes or goes. Some of it stand in
/// other failure domains, so that the loss of the own one leaves connections.
/// The first part is ordered by tier, and so is the rest.
pub(super) fn arrange(candidates: &mut [Candidate], node: Score, cfg: &RouteSettings) -> usize {
    let size = candidates.len().min(cfg.subset_size.max(1));
    candidates.sort_by_key(|c| (c.tier, std::cmp::Reverse(c.score.against(node))));
    let near = candidates.iter().filter(|c| c.tier == 0).count();
    let far = candidates.len() - near;
    let kept_far = far.min(cfg.subset_elsewhere.min(size));
    let kept_near = near.min(size - kept_far);
    // What the own domain can't fill is drawn from the others.
    let kept_far = size - kept_near;
    candidates[kept_near..near + kept_far].rotate_left(near - kept_near);
    size
}
