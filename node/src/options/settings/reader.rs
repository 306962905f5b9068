//! Typed reader of an INI file.
//!
//! It collects every fault instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ini::Ini;
use merlinrudder_core::membership::ConfiguredVm;
use merlinrudder_core::names::{VmId, ZoneName};

use super::PeerSettings;

/// Minimum length of a token, in bytes.
const MIN_TOKEN_LEN: usize = 8;

/// Fault of one key; the message continues a sentence that starts with the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Fault {
    section: String,
    key: String,
    message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: {}", self.section, self.key, self.message)
    }
}

/// Reads values by section and key, and records known keys and faults.
///
/// A value that is missing or invalid is replaced by a default, so that reading can go on.
pub(super) struct Reader<'a> {
    ini: &'a Ini,
    /// Base of relative paths.
    folder: &'a Path,
    /// Sections and keys that were read so far.
    known: BTreeSet<(&'static str, &'static str)>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(ini: &'a Ini, folder: &'a Path) -> Self {
        Self {
            ini,
            folder,
            known: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Returns all faults, including one for each key of the file that was never read.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if section != "peers" && !self.known.contains(&(section, key)) {
                    let valid = self.valid_keys(section);
                    self.add_fault(section, key, &format!("is unknown; {valid}"));
                }
            }
        }
        self.faults
    }

    pub(super) fn add_fault(&mut self, section: &str, key: &str, message: &str) {
        let (section, key, message) = (section.to_owned(), key.to_owned(), message.to_owned());
        self.faults.push(Fault {
            section,
            key,
            message,
        });
    }

    /// Reads a value that must not be empty; returns an empty string otherwise.
    pub(super) fn required(&mut self, section: &'static str, key: &'static str) -> String {
        match self.get(section, key) {
            Some(value) if !value.is_empty() => value.to_owned(),
            Some(_) => {
                self.add_fault(section, key, "is empty");
                String::new()
            }
            None => {
                self.add_fault(section, key, "is missing");
                String::new()
            }
        }
    }

    /// Reads a VM id and checks it against `VM_ID_RULE`.
    pub(super) fn vm_id(&mut self, section: &'static str, key: &'static str) -> String {
        let id = self.required(section, key);
        if !id.is_empty() && !is_vm_id(&id) {
            self.add_fault(section, key, VM_ID_RULE);
        }
        id
    }

    /// Reads `yes` or `no`.
    pub(super) fn flag(&mut self, section: &'static str, key: &'static str, default: bool) -> bool {
        let choices = if default {
            [("yes", true), ("no", false)]
        } else {
            [("no", false), ("yes", true)]
        };
        self.choice(section, key, &choices)
    }

    /// Reads one of the given words; the first is the default.
    pub(super) fn choice<T: Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        choices: &[(&str, T)],
    ) -> T {
        let default = choices[0].1;
        let Some(value) = self.get(section, key) else {
            return default;
        };
        if let Some((_, chosen)) = choices.iter().find(|(word, _)| *word == value) {
            return *chosen;
        }
        let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
        let message = format!("is '{value}'; valid values are {}", words.join(", "));
        self.add_fault(section, key, &message);
        default
    }

    /// Reads an integer from `min` to `max`; a missing key gives `default`.
    pub(super) fn number(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u64,
        min: u64,
        max: u64,
    ) -> u64 {
        let Some(value) = self.get(section, key) else {
            return default;
        };
        match value.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let message = format!("is '{value}'; valid are integers from {min} to {max}");
                self.add_fault(section, key, &message);
                default
            }
        }
    }

    /// Reads an IP address with a port.
    pub(super) fn address(&mut self, section: &'static str, key: &'static str) -> SocketAddr {
        let value = self.required(section, key);
        let parsed = value.parse();
        if parsed.is_err() && !value.is_empty() {
            let message = format!("is '{value}'; valid is an IP address with a port");
            self.add_fault(section, key, &message);
        }
        parsed.unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(super) fn optional_path(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<PathBuf> {
        let value = self.get(section, key)?;
        Some(self.folder.join(value))
    }

    /// Reads the path of a file that must exist.
    pub(super) fn file(&mut self, section: &'static str, key: &'static str) -> PathBuf {
        let value = self.required(section, key);
        let path = self.folder.join(&value);
        if !value.is_empty() && !path.is_file() {
            let message = format!("names {}, which is not a file", path.display());
            self.add_fault(section, key, &message);
        }
        path
    }

    /// Reads a token of at least `MIN_TOKEN_LEN` bytes.
    pub(super) fn token(&mut self, section: &'static str, key: &'static str) -> String {
        let token = self.required(section, key);
        if !token.is_empty() && token.len() < MIN_TOKEN_LEN {
            let message = format!("is too short; valid are {MIN_TOKEN_LEN} characters or more");
            self.add_fault(section, key, &message);
        }
        token
    }

    /// Reads `[peers]`, which has one key for each other VM.
    ///
    /// A line is `id = address, zone`, or `id = address, zone, disk` for a VM with a disk.
    pub(super) fn peers(&mut self, own: &VmId) -> Vec<PeerSettings> {
        let Some(section) = self.ini.section(Some("peers")) else {
            return Vec::new();
        };
        let lines: Vec<_> = section
            .iter()
            .map(|(id, value)| (id.to_owned(), value.to_owned()))
            .collect();
        let mut peers: Vec<PeerSettings> = Vec::new();
        for (id, value) in lines {
            match parse_peer(&id, &value) {
                Ok(peer) if peer.config.vm == *own => {
                    self.add_fault("peers", &id, "is this VM itself; list only the others");
                }
                Ok(peer) if peers.iter().any(|other| other.config.vm == peer.config.vm) => {
                    self.add_fault("peers", &id, "is listed twice");
                }
                Ok(peer) => peers.push(peer),
                Err(message) => self.add_fault("peers", &id, &message),
            }
        }
        peers
    }

    /// Returns the trimmed value of a key and records the key as known.
    fn get(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        self.known.insert((section, key));
        self.ini.get_from(Some(section), key).map(str::trim)
    }

    /// Lists the valid keys of a section; of an unknown section, the valid sections.
    fn valid_keys(&self, section: &str) -> String {
        let keys: Vec<_> = self
            .known
            .iter()
            .filter(|(known, _)| *known == section)
            .map(|(_, key)| *key)
            .collect();
        if keys.is_empty() {
            let sections: BTreeSet<_> = self.known.iter().map(|(known, _)| *known).collect();
            let sections: Vec<_> = sections.into_iter().collect();
            return format!("valid sections are {}, peers", sections.join(", "));
        }
        format!("valid keys are {}", keys.join(", "))
    }
}

const VM_ID_RULE: &str =
    "must have 1 to 63 lowercase letters, digits or '-', and not start with '-'";

fn is_vm_id(id: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=63).contains(&id.len()) && id.chars().all(is_allowed) && !id.starts_with('-')
}

fn parse_peer(id: &str, value: &str) -> Result<PeerSettings, String> {
    if !is_vm_id(id) {
        return Err(format!("the id {VM_ID_RULE}"));
    }
    let parts: Vec<_> = value.split(',').map(str::trim).collect();
    let (address, zone, disk) = match parts.as_slice() {
        [address, zone] => (address, zone, false),
        [address, zone, "disk"] => (address, zone, true),
        _ => {
            return Err(format!(
                "is '{value}'; valid is 'address, zone' or 'address, zone, disk'"
            ));
        }
    };
    let address = address.parse().map_err(|_error| {
        format!("has the address '{address}'; valid is an IP address with a port")
    })?;
    if zone.is_empty() {
        return Err("has an empty zone".to_owned());
    }
    let config = ConfiguredVm {
        vm: VmId::from(id),
        zone: ZoneName::from(*zone),
        disk,
    };
    Ok(PeerSettings { config, address })
}
