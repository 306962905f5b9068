//! Settings of a VM, read from an INI file.
//!
//! Errors list every fault of the file.

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

/// Settings of one VM.
///
/// Relative paths in the file are resolved against the folder of the file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique id of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Data folder for the control log; `None` on a VM without a disk.
    pub data_folder: Option<PathBuf>,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// All other VMs.
    pub peers: Vec<PeerSettings>,
    /// Certificate and key files for the mesh.
    pub tls: TlsSettings,
    /// Bearer tokens of operators and backend servers.
    pub tokens: TokenSettings,
    /// Limits on callers.
    pub limits: LimitSettings,
    /// Format and level of the log.
    pub log: LogSettings,
}

/// Listen addresses, TCP unless stated otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// For callers, behind the load balancer.
    pub callers: SocketAddr,
    /// For announcements of backend servers, behind the load balancer.
    pub backends: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For the mesh of VMs; UDP.
    pub mesh: SocketAddr,
}

/// Another VM, as listed in `[peers]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Id, zone and whether the VM has a disk.
    pub config: ConfiguredVm,
    /// Mesh address of the VM.
    pub address: SocketAddr,
}

/// Certificate and key files, in PEM format.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// Certificate of the authority that signs the certificates of all VMs.
    pub authority: PathBuf,
    /// Certificate of this VM; its subject alternative name is the VM's id.
    pub certificate: PathBuf,
    /// Private key of this VM's certificate.
    pub key: PathBuf,
}

/// Secret bearer tokens; `Debug` redacts them.
#[derive(Clone, Eq, PartialEq)]
pub struct TokenSettings {
    /// Token that operators send.
    pub admin: String,
    /// Token that backend servers send.
    pub backends: String,
}

impl fmt::Debug for TokenSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSettings(redacted)")
    }
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Most requests in progress at once.
    pub max_requests: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Memory for the bodies and answers of all requests together, with copies, in bytes.
    pub memory_bytes: usize,
    /// Time without a byte after which a connection is closed; used on every HTTP port.
    pub idle_timeout: Duration,
    /// Time in which a caller must send its whole body.
    pub body_timeout: Duration,
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of a record.
    pub format: LogFormat,
    /// Lowest level that is written.
    pub level: Level,
}

/// Format of a log record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// Readable text, one line for each record.
    Human,
    /// One JSON object for each record.
    Json,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is invalid; the error is that of `parse`.
    pub fn open(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read the settings file {}", path.display()))?;
        Self::parse(&text, path)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// `path` is named in errors, and its folder is the base of relative paths.
    ///
    /// # Errors
    /// Fails if the text is invalid; lists every fault with its section, key and valid values.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let ini = Ini::load_from_str(text)
            .with_context(|| format!("{}: not an INI file", path.display()))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut reader = Reader::new(&ini, folder);
        let settings = read_settings(&mut reader);
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

    /// Returns this VM as the other VMs list it in their `[peers]`.
    #[must_use]
    pub fn configured_vm(&self) -> ConfiguredVm {
        let disk = self.data_folder.is_some();
        ConfiguredVm {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            disk,
        }
    }
}

fn read_settings(reader: &mut Reader<'_>) -> Settings {
    let vm = VmId::from(reader.vm_id("vm", "id"));
    let zone = ZoneName::from(reader.required("vm", "zone"));
    let disk = reader.flag("vm", "disk", false);
    let folder = reader.optional_path("vm", "data_folder");
    if disk && folder.is_none() {
        reader.add_fault(
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
    let max_requests = reader.number("limits", "requests", 1024, 1, 100_000);
    let body_bytes = reader.number("limits", "body_bytes", 16 << 20, 1024, 256 << 20);
    let memory_bytes = reader.number("limits", "memory_bytes", 52 << 20, 1 << 20, 1 << 40);
    let idle_ms = reader.number("limits", "idle_ms", 20_000, 100, 3_600_000);
    let body_ms = reader.number("limits", "body_ms", 60_000, 100, 3_600_000);
    LimitSettings {
        max_requests: usize::try_from(max_requests).unwrap_or(usize::MAX),
        body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
        memory_bytes: usize::try_from(memory_bytes).unwrap_or(usize::MAX),
        idle_timeout: Duration::from_millis(idle_ms),
        body_timeout: Duration::from_millis(body_ms),
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
