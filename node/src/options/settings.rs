//! The settings of a VM, read from an INI file and checked whole.

mod reader;

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use ini::Ini;
use merlinrudder_core::membership::ConfiguredVm;
use merlinrudder_core::names::{VmId, ZoneName};
use slog::Level;

use self::reader::Reader;

/// Settings of one VM; every path is as written or relative to the file's folder.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its id.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneName,
    /// Folder of the control log; `None` on a VM without a disk.
    pub data_folder: Option<PathBuf>,
    /// Where it listens.
    pub listen: ListenSettings,
    /// All other VMs.
    pub peers: Vec<PeerSettings>,
    /// Key files.
    pub tls: TlsSettings,
    /// Tokens of operators and backend servers.
    pub tokens: TokenSettings,
    /// Limits.
    pub limits: LimitSettings,
    /// Logs.
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For announcements of backend servers, behind the balancer.
    pub backends: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other VMs, UDP.
    pub mesh: SocketAddr,
}

/// Another VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Its id, zone and whether it has a disk.
    pub listed: ConfiguredVm,
    /// Its mesh address.
    pub address: SocketAddr,
}

/// Key files, in PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// Certificate of the authority that signs all VMs.
    pub authority: PathBuf,
    /// This VM's certificate, made for its id.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// Secret tokens; never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct TokenSettings {
    /// Token of operators.
    pub admin: String,
    /// Token of backend servers.
    pub backends: String,
}

impl fmt::Debug for TokenSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSettings(redacted)")
    }
}

/// Limits of one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Most requests in progress.
    pub requests: usize,
    /// Largest body of a caller, in bytes.
    pub body_bytes: usize,
    /// Time without a byte after which a caller's connection is closed.
    pub idle: Duration,
    /// Time in which a caller must have sent its whole body.
    pub body_timeout: Duration,
}

/// Logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least level that is written.
    pub level: Level,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// JSON.
    Json,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails where the file cannot be read, or lists every fault with section, key and valid values.
    pub fn open(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read the settings file {}", path.display()))?;
        Self::parse(&text, path)
    }

    /// Checks the text of a settings file; `path` is named in faults.
    ///
    /// # Errors
    /// Lists every fault with section, key and valid values.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let ini = Ini::load_from_str(text)
            .with_context(|| format!("{}: not an INI file", path.display()))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut reader = Reader::new(&ini, folder);
        let settings = read(&mut reader);
        let faults = reader.finish();
        if !faults.is_empty() {
            let lines: Vec<_> = faults
                .iter()
                .map(|fault| format!("\n  {}: {fault}", path.display()))
                .collect();
            bail!(
                "the settings have {} fault(s):{}",
                faults.len(),
                lines.concat()
            );
        }
        Ok(settings)
    }

    /// Returns this VM as others list it.
    #[must_use]
    pub fn own(&self) -> ConfiguredVm {
        let disk = self.data_folder.is_some();
        ConfiguredVm {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            disk,
        }
    }
}

fn read(reader: &mut Reader<'_>) -> Settings {
    let vm = VmId::from(reader.vm_id("vm", "id"));
    let zone = ZoneName::from(reader.required("vm", "zone"));
    let disk = reader.flag("vm", "disk", false);
    let folder = reader.optional_path("vm", "data_folder");
    if disk && folder.is_none() {
        reader.fault(
            "vm",
            "data_folder",
            "is missing; a VM with disk = yes needs a folder",
        );
    }
    Settings {
        vm: vm.clone(),
        zone,
        data_folder: folder.filter(|_| disk),
        listen: ListenSettings {
            callers: reader.address("listen", "callers"),
            backends: reader.address("listen", "backends"),
            admin: reader.address("listen", "admin"),
            mesh: reader.address("listen", "mesh"),
        },
        peers: reader.peers(&vm),
        tls: TlsSettings {
            authority: reader.file("tls", "authority"),
            certificate: reader.file("tls", "certificate"),
            key: reader.file("tls", "key"),
        },
        tokens: TokenSettings {
            admin: reader.token("tokens", "admin"),
            backends: reader.token("tokens", "backends"),
        },
        limits: read_limits(reader),
        log: read_log(reader),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> LimitSettings {
    let requests = reader.number("limits", "requests", 1024, 1, 100_000);
    let body_bytes = reader.number("limits", "body_bytes", 16 << 20, 1024, 256 << 20);
    let idle = reader.number("limits", "idle_ms", 20_000, 100, 3_600_000);
    let body_timeout = reader.number("limits", "body_ms", 60_000, 100, 3_600_000);
    LimitSettings {
        requests: usize::try_from(requests).unwrap_or(usize::MAX),
        body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
        idle: Duration::from_millis(idle),
        body_timeout: Duration::from_millis(body_timeout),
    }
}

fn read_log(reader: &mut Reader<'_>) -> LogSettings {
    let formats = [("human", LogFormat::Human), ("json", LogFormat::Json)];
    let levels = [
        ("info", Level::Info),
        ("critical", Level::Critical),
        ("error", Level::Error),
        ("warning", Level::Warning),
        ("debug", Level::Debug),
    ];
    LogSettings {
        format: reader.choice("log", "format", &formats),
        level: reader.choice("log", "level", &levels),
    }
}
