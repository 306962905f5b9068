//! The HTTP fronts: callers, backend servers, operators.

pub mod answer;
mod attempts;
pub mod backends;
pub mod callers;
mod completions;
mod identity;
mod listener;
mod plain;
mod stream;

pub use identity::has_token;
pub use listener::{HttpFront, read_body};
