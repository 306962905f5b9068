//! Intervals, timeouts and limits of the server.

use std::time::Duration;

/// Interval between ticks of the control thread.
pub const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Interval at which a VM pulls manifests and quarantined contents from the leader.
pub const PULL_PERIOD: Duration = Duration::from_secs(1);
/// Time without a confirmed quorum after which a VM reports that it is cut off.
pub const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between hello messages of a replica that is not yet a voter.
pub const HELLO_PERIOD: Duration = Duration::from_millis(300);
/// Time without an answer after which a proposal is sent again.
pub const PROPOSAL_RESEND_DELAY: Duration = Duration::from_millis(400);
/// Applied entries after which the control log is compacted.
pub const COMPACT_ENTRIES: u64 = 8192;
/// Size of applied commands after which the control log is compacted.
pub const COMPACT_BYTES: usize = 8 * 1024 * 1024;
/// Delay before a failed write to the disk is retried.
pub const DISK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed `accept` on a listening socket.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for connecting to a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for health probes and other short calls to a backend server.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a token without the next one after which an engine counts as hung.
pub const INTER_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Slack in the timeout for the first token of an engine.
///
/// An engine counts as hung after twice the predicted prefill time plus this time.
pub const FIRST_TOKEN_SLACK: Duration = Duration::from_secs(10);
/// Interval at which an idle event stream sends a comment to its caller.
pub const STREAM_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a claim, publish or status query waits for its answer.
pub const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a publish waits until all VMs have the manifest in force.
pub const MANIFEST_ROLLOUT_WAIT: Duration = Duration::from_secs(2);
/// Lease of engine memory reserved for a prompt that spans several engines.
pub const RESERVATION_LEASE: Duration = Duration::from_mins(10);
/// Interval at which the requests held by engines are compared with those placed on them.
pub const RECONCILE_PERIOD: Duration = Duration::from_secs(5);
/// Age from which a request held by an engine may count as an orphan.
///
/// An orphan is not placed on the engine that holds it.
pub const MIN_ORPHAN_AGE: Duration = Duration::from_secs(10);
/// Longest time that a graceful stop waits for requests in progress.
pub const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);
/// Time that a stopping VM reports unready before it refuses requests.
///
/// The load balancer stops sending traffic in this time.
pub const UNREADY_PERIOD: Duration = Duration::from_millis(1500);
/// Largest request body of an operator or a backend server, in bytes.
pub const MAX_ADMIN_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest response of a backend server that is buffered whole, in bytes.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Largest number of other VMs that are all pinged about a newer manifest.
///
/// If there are more, only VMs with a disk are pinged; the others learn the number by gossip.
pub const MAX_BROADCAST_VMS: usize = 32;
