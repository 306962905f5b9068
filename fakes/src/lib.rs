//! Small stand-ins for engines, applications and weight stores, over real HTTP.
//!
//! They keep an execution log, against which what the system says is held.

pub mod announcer;
pub mod app;
pub mod backend;
pub mod completion;
pub mod engine;
pub mod faults;
pub mod http_client;
mod http_server;
pub mod nodes;
pub mod proxy;
pub mod soak;
pub mod weights;
