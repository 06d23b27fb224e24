//! Decisions.
