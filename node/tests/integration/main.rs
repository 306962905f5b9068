//! Tests of the server: settings, mesh certificates, HTTP fronts.

mod http_server;
mod mesh;
mod platform;
mod settings;
mod soak;
mod util;
