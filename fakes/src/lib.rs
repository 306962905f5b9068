//! Fake engines, applications, backend servers and weight stores over real HTTP, for tests.
//!
//! Fakes that run requests log each execution. Tests compare what the system reported with these
//! logs, for example to prove that a request ran at most once.
//!
//! `engine` and `app` are backend servers that announce themselves to the VMs. `backend`, `nodes`,
//! `proxy` and `soak` test a deployment on the hosting platform, where heartbeats register backend
//! servers.

pub mod announcer;
pub mod app;
pub mod backend;
pub mod completion;
pub mod cuts;
pub mod engine;
pub mod faults;
pub mod http_client;
mod http_server;
pub mod nodes;
pub mod proxy;
pub mod raw_server;
pub mod soak;
pub mod weights;
