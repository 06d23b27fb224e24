//! The steps of a run.

/// One random step.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    /// Time advances by so many milliseconds.
    Wait(u64),
    /// Time advances by so many milliseconds, while connected nodes read the
    /// source.
    WaitInSync(u64),
    /// The platform adds an endpoint to the list, or removes it.
    Publish(usize),
    /// A node reads the source.
    Read(usize),
    /// One node sends another its list and proof.
    Gossip(usize, usize),
    /// A node is cut off from the source, or connected again.
    Partition(usize, bool),
    /// A node is paused, or resumed.
    Pause(usize, bool),
    /// The process of an owner is restarted.
    Restart(usize),
    /// A caller sends a new operation.
    NewOperation(usize),
    /// A caller repeats an operation without an answer.
    Repeat(usize, usize),
    /// A request reaches its owner.
    Deliver(usize),
    /// An owner hands a request over to its target.
    HandOver(usize),
    /// A target answers, and the answer reaches the caller or is lost.
    Answer(usize, bool),
}

/// Waits in milliseconds, around the lease of 10 s and the hold time of 60 s.
const WAITS_MS: [u64; 8] = [1, 100, 1_000, 4_000, 9_000, 10_500, 21_000, 61_000];
/// Waits in sync in milliseconds: within the lease, longer than two leases,
/// longer than hold time and two leases.
const SYNCED_WAITS_MS: [u64; 3] = [5_000, 25_000, 90_000];

impl Step {
    /// Decodes a step from random bits.
    pub(crate) fn from_bits(bits: u64) -> Step {
        let field = |shift: u64, bound: usize| (bits >> shift) as usize % bound;
        let (a, b) = (field(8, 64), field(16, 64));
        match field(0, 256) {
            0..16 => Step::Wait(WAITS_MS[a % WAITS_MS.len()]),
            16..36 => Step::WaitInSync(SYNCED_WAITS_MS[a % SYNCED_WAITS_MS.len()]),
            36..42 => Step::Publish(a),
            42..56 => Step::Read(a),
            56..70 => Step::Gossip(a, b),
            70..82 => Step::Partition(a, b % 3 == 0),
            82..94 => Step::Pause(a, b % 3 == 0),
            94..97 => Step::Restart(a),
            97..117 => Step::NewOperation(a),
            117..147 => Step::Repeat(a, b),
            147..190 => Step::Deliver(a),
            190..228 => Step::HandOver(a),
            _ => Step::Answer(a, b % 3 > 0),
        }
    }
}
