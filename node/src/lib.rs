//! The merlinrudder server: threads, sockets, files and timers round the core.

pub mod admin;
pub mod backend;
pub mod clock;
pub mod constants;
pub mod control;
pub mod front;
pub mod logging;
pub mod mesh;
pub mod metrics;
pub mod options;
pub mod published;
pub mod timer;
pub mod vm;
