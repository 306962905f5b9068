//! The decision logic of merlinrudder, as state machines that perform no I/O.
//!
//! Nothing in this package reads a clock, opens a socket or a file, starts a thread or uses a
//! global random number generator. Callers pass in the time and the inputs, and act on the outputs.
//!
//! The package serves two setups, which both replicate a control log ([`consensus`], [`control`]):
//!
//! - VMs that accept callers and dispatch in one process serve a [`manifest`]. The requests at
//!   each of them ([`in_flight`]) are placed by the dispatcher of a zone ([`dispatch`],
//!   [`placement`]), on the backend servers in its [`registry`].
//! - Entry VMs that are separate from the control VMs serve a [`deployment`]. Each entry VM places
//!   its requests itself ([`fleet`], [`engine_placement`]), on the backend servers in its
//!   [`directory`], keeps to the limits on their request rates with the other VMs ([`rate_limit`]),
//!   reaches them by way of another VM if it is cut off itself ([`reach`], [`relays`]), keeps
//!   requests that crash them away ([`crash_detector`], [`crash_history`], [`completions`]), and
//!   sends nothing to zones that an operator evacuates ([`evacuation`]).

pub mod capacity;
pub mod census;
pub mod claims;
pub mod cold;
pub mod completions;
pub mod consensus;
pub mod control;
pub mod control_contact;
pub mod crash_detector;
pub mod crash_history;
pub mod deployment;
pub mod directory;
pub mod dispatch;
pub mod engine_model;
pub mod engine_placement;
pub mod estimate;
pub mod evacuation;
pub mod events;
pub mod fleet;
pub mod health;
pub mod history_pull;
pub mod hold_off;
pub mod in_flight;
pub mod link_policy;
pub mod manifest;
pub mod manifest_history;
pub mod manifest_pull;
pub mod membership;
pub mod names;
pub mod outcome;
pub mod pair_start;
pub mod peer_list;
pub mod placement;
pub mod placement_batches;
pub mod planned_stop;
pub mod publishing;
pub mod queue;
pub mod rank;
pub mod rate_limit;
pub mod reach;
pub mod registry;
pub mod relays;
pub mod rendezvous;
pub mod retry;
pub mod suspects;
pub mod time;
pub mod units;
pub mod zone_links;
