//! The steps of a run.

/// One step, drawn at random.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    /// Time goes on, in milliseconds.
    Wait(u64),
    /// Time goes on while everything that is connected stays up to date.
    WaitInSync(u64),
    /// The platform lists an endpoint, or lists it no more.
    Publish(usize),
    /// A node reads the source.
    Read(usize),
    /// One node tells another what it knows of the list.
    Gossip(usize, usize),
    /// A node is cut off from the source, or connected again.
    Partition(usize, bool),
    /// A node is paused, or goes on.
    Pause(usize, bool),
    /// An owner's process is replaced.
    Restart(usize),
    /// A caller asks for something new.
    NewOperation(usize),
    /// A caller asks again, without an answer so far.
    Repeat(usize, usize),
    /// A request reaches its owner.
    Deliver(usize),
    /// An owner hands a request over.
    HandOver(usize),
    /// A target answers, and the answer reaches the caller or is lost.
    Answer(usize, bool),
}

/// Waits in milliseconds, around the lease of 10 s and the hold time of 60 s.
const WAITS_MS: [u64; 8] = [1, 100, 1_000, 4_000, 9_000, 10_500, 21_000, 61_000];
/// Rests in milliseconds: within the lease, past two leases, past all.
const SYNCED_WAITS_MS: [u64; 3] = [5_000, 25_000, 90_000];

impl Step {
    /// The step that random bits stand for.
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
