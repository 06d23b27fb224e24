//! Tests of admission control: which requests run, wait and are refused.

mod cases;
mod cold;
mod fixture;
mod load;
mod overload;
mod properties;
mod retry_hint;
