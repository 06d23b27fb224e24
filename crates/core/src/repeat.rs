//! At most once, for requests that carry a key and may not be repeated.
pub use self::attempt::Attempt;
pub use self::begin::Begin;
pub use self::begin::StoredAnswer;
pub use self::key::RequestKey;
pub use self::running::Running;
pub use self::settings::RepeatSettings;
pub use self::window::RepeatWindow;

mod attempt;
mod begin;
mod key;
mod running;
mod settings;
mod state;
mod tenure;
#[cfg(test)]
mod tests;
mod window;
