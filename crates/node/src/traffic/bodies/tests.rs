use super::Bodies;
use super::MAX_HELD_BYTES;
use super::MAX_REPLAY_BYTES;

/// Guards against uploads that take all of a node's memory.
#[test]
fn held_bodies_are_bounded_each_and_in_all() {
    let bodies = Bodies::new();
    assert!(bodies.room(MAX_REPLAY_BYTES + 1).is_none(), "too large");
    let most = MAX_HELD_BYTES / MAX_REPLAY_BYTES;
    let held: Vec<_> = (0..most).map(|_| bodies.room(MAX_REPLAY_BYTES)).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(bodies.room(1).is_none(), "all of it is taken");
    let copy = held[0].clone();
    drop(held);
    assert!(
        bodies.room(MAX_HELD_BYTES - MAX_REPLAY_BYTES).is_none(),
        "too large"
    );
    let again: Vec<_> = (0..most).map(|_| bodies.room(MAX_REPLAY_BYTES)).collect();
    let free = again.iter().filter(|room| room.is_some()).count();
    assert_eq!(u64::try_from(free), Ok(most - 1), "a copy holds its room");
    drop(copy);
}
