//! Arguments and settings, parsed in one place.

pub mod args;
pub mod settings;
