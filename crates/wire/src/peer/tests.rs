mod packed;
mod pool;
mod server;
mod support;
