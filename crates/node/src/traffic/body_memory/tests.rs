use super::BodyMemory;
use super::MAX_BUFFERED_BYTES;
use super::MAX_REPLAY_BYTES;

/// Guards against uploads that exhaust the memory of a node.
#[test]
fn buffered_bodies_are_bounded_each_and_in_total() {
    let body_memory = BodyMemory::new();
    assert!(
        body_memory.reserve(MAX_REPLAY_BYTES + 1).is_none(),
        "too large"
    );
    let max_bodies = MAX_BUFFERED_BYTES / MAX_REPLAY_BYTES;
    let reserved: Vec<_> = (0..max_bodies)
        .map(|_| body_memory.reserve(MAX_REPLAY_BYTES))
        .collect();
    assert!(reserved.iter().all(Option::is_some));
    assert!(body_memory.reserve(1).is_none(), "all memory is reserved");
    let clone = reserved[0].clone();
    drop(reserved);
    assert!(
        body_memory
            .reserve(MAX_BUFFERED_BYTES - MAX_REPLAY_BYTES)
            .is_none(),
        "too large"
    );
    let again: Vec<_> = (0..max_bodies)
        .map(|_| body_memory.reserve(MAX_REPLAY_BYTES))
        .collect();
    let free = again.iter().filter(|memory| memory.is_some()).count();
    assert_eq!(
        u64::try_from(free),
        Ok(max_bodies - 1),
        "a clone keeps its reservation"
    );
    drop(clone);
}
