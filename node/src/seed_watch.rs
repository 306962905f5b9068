//! Follows changes of the seeds in the settings file while the process runs.

use std::net::SocketAddr;

use merlinrudder_platform::error::FormatError;
use merlinrudder_platform::settings::{self, NodeSettings};
use slog::{Logger, error, info};

use crate::links::{AddressSource, Links};
use crate::roles::seed_addresses;

/// The settings as they were last read.
pub(crate) struct SeedWatch {
    links: Links,
    /// Link addresses of the seeds.
    seeds: Vec<SocketAddr>,
    /// Whether the last attempt to read the file failed.
    has_failed: bool,
    log: Logger,
}

impl SeedWatch {
    /// Watches the file from which `settings` were read.
    pub(crate) fn new(links: Links, settings: &NodeSettings, log: &Logger) -> Self {
        Self {
            links,
            seeds: seed_addresses(settings),
            has_failed: false,
            log: log.clone(),
        }
    }

    /// Reads the file and dials its seeds; other settings apply at the next start.
    pub(crate) fn check(&mut self) {
        match settings::open_from_environment() {
            Ok(settings) => self.follow(&settings),
            Err(error) => self.record_failure(&error),
        }
    }

    fn follow(&mut self, settings: &NodeSettings) {
        self.has_failed = false;
        let seeds = seed_addresses(settings);
        if seeds != self.seeds {
            info!(self.log, "Seeds changed; other settings apply at the next start";
                "seeds" => ?seeds, "before" => ?self.seeds);
            self.seeds = seeds;
        }
        // A seed may have been known and given up before.
        for seed in &self.seeds {
            self.links.dial(*seed, AddressSource::Settings);
        }
    }

    fn record_failure(&mut self, error: &FormatError) {
        if !std::mem::replace(&mut self.has_failed, true) {
            error!(self.log, "Failed to read settings; old ones stay"; "error" => %error);
        }
    }
}
