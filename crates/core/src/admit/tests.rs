//! What runs, what waits and what is refused.

mod bench;
mod cases;
mod cold;
mod drawn;
mod load;
mod overload;
mod shed;
