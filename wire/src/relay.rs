//! Headers of a request that a VM sends by way of another one, and of the answer to it.
//!
//! Everything else of the request and the answer is as between a caller and the gateway. Headers of
//! these names that come from callers or backend servers are removed.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Token of the receiving process, in hexadecimal.
pub const TOKEN: &str = "merlinrudder-relay-token";
/// Service that the first VM drew from the route's targets.
pub const SERVICE: &str = "merlinrudder-relay-service";
/// Number of the manifest under which the first VM admitted the request.
pub const MANIFEST: &str = "merlinrudder-relay-manifest";
/// Ids of the servers that must not get the request, separated by commas.
pub const EXCLUDED: &str = "merlinrudder-relay-excluded";
/// Set to 1 if the request is a trial of a content that crashed servers.
pub const TRIAL: &str = "merlinrudder-relay-trial";
/// Id of the server that gave the answer.
pub const SERVER: &str = "merlinrudder-relay-server";
/// Reason code, if the VM itself refused or failed the request.
pub const REASON: &str = "merlinrudder-relay-reason";
/// Beside `REASON`: `not_run`, or `may_have_run` if a server may have run the request.
pub const RUN: &str = "merlinrudder-relay-run";

/// All headers of requests and answers between two VMs.
pub const ALL: [&str; 8] = [
    TOKEN, SERVICE, MANIFEST, EXCLUDED, TRIAL, SERVER, REASON, RUN,
];

/// Where a VM accepts requests of other VMs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireRelay {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Random token of the process, which each request repeats.
    pub token: u128,
}
