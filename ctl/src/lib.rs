//! The command line tool: administration, stand-ins, load, reports, a demonstration.

pub mod client;
pub mod commands;
pub mod deployment;
pub mod keys;
pub mod measure;
pub mod options;
pub mod replay;
