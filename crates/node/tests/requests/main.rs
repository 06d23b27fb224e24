//! Requests end to end: real nodes and real sockets, with stand-in targets.

mod calling_target;
mod cancel;
mod client;
mod cold;
mod cut;
mod depth;
mod drain;
mod evacuation;
mod fleet;
mod forged;
mod homes;
mod keyed;
mod limits;
mod lost;
mod nosy_target;
mod path;
mod pipelined;
mod shedding;
mod told;
mod upload;
mod wait;
