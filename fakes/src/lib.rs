//! Small stand-ins for engines, applications and weight stores, over real HTTP.
//!
//! They keep an execution log, against which what the system says is held.

pub mod announcer;
pub mod answer;
pub mod app;
pub mod engine;
pub mod exchange;
pub mod faults;
mod http;
pub mod nodes;
pub mod platform;
pub mod proxy;
pub mod soak;
pub mod weights;
