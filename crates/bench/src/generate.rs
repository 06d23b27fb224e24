//! Generated catalogues and instance lists of any size, reproducible by seed.

pub use self::catalogue::GeneratedCatalogue;
pub use self::fleet::GeneratedFleet;
pub use self::shape::Shape;
pub use self::text::render_catalogue;

mod catalogue;
mod fleet;
mod shape;
#[cfg(test)]
mod tests;
mod text;
