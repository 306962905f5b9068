//! The merlinrudder server: threads, sockets, files and timers around the core's state machines.
//!
//! A process runs in one of two ways:
//!
//! - As a whole VM ([`vm`]), with a settings file. It serves callers and backend servers
//!   ([`http_api`], [`backend`]) and operators ([`admin`]), dispatches requests, and replicates the
//!   control log if it has a disk ([`control`]). The VMs are connected by the [`mesh`].
//! - In one role on the hosting platform ([`roles`]), as a control VM ([`controller`]) or an entry
//!   VM ([`gateway`]). These VMs are connected by [`links`].

pub mod admin;
pub mod backend;
pub mod clock;
pub mod constants;
pub mod control;
pub mod controller;
mod crash_exchange;
mod digest;
pub mod gateway;
pub mod http_api;
pub mod links;
pub mod logging;
pub mod memory_budget;
pub mod mesh;
pub mod metrics;
pub mod metrics_port;
pub mod options;
pub mod proposal_ids;
pub mod published;
pub mod replica;
pub mod roles;
mod seed_watch;
pub mod sockets;
pub mod timer;
pub mod vm;
