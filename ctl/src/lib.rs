//! The command line tool `merlinctl`: administration, fake servers, load generation, simulation.

pub mod client;
pub mod commands;
pub mod deployment;
pub mod keys;
pub mod load_stats;
pub mod options;
pub mod replay;
