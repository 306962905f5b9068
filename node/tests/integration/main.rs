//! Tests of the server: settings, mesh certificates, HTTP fronts.

mod fronts;
mod mesh;
mod platform;
mod settings;
mod soak;
mod util;
