//! HTTP servers of a VM: the APIs for callers and for backend servers.
//!
//! Listener, responses and token checks are shared with the API for operators.

mod attempts;
mod auth;
pub mod backend_api;
pub mod caller_api;
mod completions;
mod listener;
mod plain;
mod received_body;
mod request;
pub mod response;
mod stream;

pub use auth::has_token;
pub use listener::HttpServer;
pub use received_body::{ReceivedBody, read_body};
pub use request::Request;
