//! The HTTP fronts: callers, backend servers, operators.

mod attempts;
pub mod backend_api;
pub mod caller_api;
mod completions;
mod identity;
mod listener;
mod plain;
pub mod response;
mod stream;

pub use identity::has_token;
pub use listener::{HttpServer, read_body};
