//! The merlinrudder server: threads, sockets, files and timers around the core's state machines.

pub mod admin;
pub mod backend;
pub mod clock;
pub mod constants;
pub mod control;
pub mod controller;
pub mod gateway;
pub mod http_api;
pub mod links;
pub mod logging;
pub mod mesh;
pub mod metrics;
pub mod metrics_port;
pub mod options;
pub mod published;
pub mod replica;
pub mod roles;
pub mod sockets;
pub mod timer;
pub mod vm;
