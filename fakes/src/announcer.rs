//! Announces a fake backend server to the system through any of its VMs.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use attohttpc::ProxySettings;
use merlinrudder_wire::announce::WireAnnouncement;

use crate::http_server::KillFlag;

/// Timeout to connect to a VM, and to send one announcement.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Where and how often a fake announces itself.
#[derive(Clone, Debug)]
pub struct AnnounceOptions {
    /// Addresses at which the VMs accept announcements, as `host:port`.
    pub vms: Vec<String>,
    /// Bearer token that authenticates backend servers.
    pub token: String,
    /// Interval between two announcements.
    pub period: Duration,
}

/// Builds an announcement of the current state.
pub(crate) type AnnouncementSource = Arc<dyn Fn() -> WireAnnouncement + Send + Sync>;

/// Announces periodically on a thread until `killed` is set, starting at a random VM.
pub(crate) fn spawn(
    options: AnnounceOptions,
    killed: KillFlag,
    source: AnnouncementSource,
) -> io::Result<()> {
    thread::Builder::new()
        .name("announce".to_owned())
        .spawn(move || {
            let mut vm_index = fastrand::usize(..options.vms.len().max(1));
            while !killed.is_set() {
                announce(&options, &mut vm_index, &source());
                thread::sleep(options.period);
            }
        })?;
    Ok(())
}

/// Tries each VM once, from the one after `vm_index`, until one accepts the announcement.
pub(crate) fn announce(
    options: &AnnounceOptions,
    vm_index: &mut usize,
    announcement: &WireAnnouncement,
) -> bool {
    for _ in 0..options.vms.len() {
        *vm_index = (*vm_index + 1) % options.vms.len();
        if send(&options.vms[*vm_index], &options.token, announcement) {
            return true;
        }
    }
    false
}

fn send(vm: &str, token: &str, announcement: &WireAnnouncement) -> bool {
    let body = serde_json::to_vec(announcement).unwrap_or_default();
    let sent = attohttpc::post(format!("http://{vm}/v1/announce"))
        .proxy_settings(ProxySettings::builder().build())
        .bearer_auth(token)
        .connect_timeout(TIMEOUT)
        .timeout(TIMEOUT)
        .bytes(body)
        .send();
    sent.is_ok_and(|response| response.is_success())
}

/// Returns the Unix time in microseconds, the sequence number of an announcement.
///
/// It grows with each announcement, also across restarts of the fake.
pub(crate) fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
