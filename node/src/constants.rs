//! Named values of the server.

use std::time::Duration;

/// Time between two ticks of the control thread.
pub const TICK_PERIOD: Duration = Duration::from_millis(25);
/// Time between two pulls of the manifest and the verdicts from a control VM.
pub const PULL_PERIOD: Duration = Duration::from_secs(1);
/// Time without a confirmed quorum after which a VM calls itself cut off.
pub const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two introductions of a replica that is no voter yet.
pub const HELLO_PERIOD: Duration = Duration::from_millis(300);
/// Time without an answer after which a proposal is sent again.
pub const PROPOSAL_RESEND_DELAY: Duration = Duration::from_millis(400);
/// Applied entries after which the control log is compacted.
pub const COMPACT_ENTRIES: u64 = 8192;
/// Bytes of applied commands after which the control log is compacted.
pub const COMPACT_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a write that the disk refused is tried again.
pub const DISK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which accepting is tried again when the system refused it.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to reach a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a backend server must answer a probe of its health.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two tokens after which an engine counts as hung.
pub const INTER_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to the first token, beyond twice the predicted one, after which an engine counts as hung.
pub const FIRST_TOKEN_SLACK: Duration = Duration::from_secs(10);
/// Time without an event after which a streaming caller gets a comment.
pub const STREAM_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a claim or a publish waits for the control log.
pub const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a publish waits for the VMs to report the manifest in force.
pub const IN_FORCE_WAIT: Duration = Duration::from_secs(2);
/// Lease of memory reserved at an engine for a prompt over several.
pub const RESERVATION_LEASE: Duration = Duration::from_mins(10);
/// Time between two comparisons of what engines hold with what is placed there.
pub const RECONCILE_PERIOD: Duration = Duration::from_secs(5);
/// Age under which something that an engine holds is not yet an orphan.
pub const MIN_ORPHAN_AGE: Duration = Duration::from_secs(10);
/// Longest time that a planned stop waits for requests in progress.
pub const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);
/// Time that a stopping VM stays unready before it refuses, so that the balancer leaves first.
pub const BALANCER_TIME: Duration = Duration::from_millis(1500);
/// Largest body of a backend server or operator, in bytes.
pub const MAX_ADMIN_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest answer of a plain backend server, in bytes.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// VMs up to which each one is told at once that a newer manifest is in force.
pub const MAX_BROADCAST_VMS: usize = 32;
