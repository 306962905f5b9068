//! Command-line arguments and the settings file.

pub mod args;
pub mod settings;
