//! Announces a stand-in at the system through any of its VMs, as the balancer would.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use attohttpc::ProxySettings;
use merlinrudder_wire::announce::WireAnnouncement;

use crate::http_server::Life;

/// Time for one announcement to be taken.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Where and how often to announce.
#[derive(Clone, Debug)]
pub struct AnnounceOptions {
    /// Addresses of the VMs for backend servers, as `host:port`.
    pub vms: Vec<String>,
    /// Token of backend servers.
    pub token: String,
    /// Time between two announcements.
    pub period: Duration,
}

/// Makes the announcement of the moment.
pub(crate) type Describe = Arc<dyn Fn() -> WireAnnouncement + Send + Sync>;

/// Announces now and then until the life is over.
pub(crate) fn spawn(options: AnnounceOptions, life: Life, describe: Describe) -> io::Result<()> {
    thread::Builder::new()
        .name("announce".to_owned())
        .spawn(move || {
            let mut next = fastrand::usize(..options.vms.len().max(1));
            while !life.is_over() {
                announce(&options, &mut next, &describe());
                thread::sleep(options.period);
            }
        })?;
    Ok(())
}

/// Announces once, at the next VM that takes it.
pub(crate) fn announce(
    options: &AnnounceOptions,
    next: &mut usize,
    announcement: &WireAnnouncement,
) -> bool {
    for _ in 0..options.vms.len() {
        *next = (*next + 1) % options.vms.len();
        if send(&options.vms[*next], &options.token, announcement) {
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

/// Returns a number that grows from start to start and from announcement to announcement.
pub(crate) fn wall_micros() -> u64 {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(wall.as_micros()).unwrap_or(u64::MAX)
}
