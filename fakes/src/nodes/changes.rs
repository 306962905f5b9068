//! VMs that are added to a deployment or replaced in it, and what running ones are told of that.

use std::fs;
use std::net::IpAddr;
use std::sync::Mutex;

use anyhow::Result;

use super::{CONTROL_VMS, FIRST_HOST, NodeProcess, Nodes};

/// Last byte of the address of the first control VM that replaces another one.
const FIRST_REPLACEMENT: u8 = 100;

impl Nodes {
    /// Kills a control VM for good, and starts one with another name, address and empty disk in its place.
    ///
    /// The new VM has the index of the old one. It is told the other control VMs as its seeds; nodes
    /// that start later are told the same seeds as before.
    ///
    /// # Errors
    /// Fails if a process cannot be killed or started.
    pub fn replace_control(&mut self, index: usize) -> Result<()> {
        self.kill(index)?;
        self.replacements += 1;
        let number = self.replacements;
        self.processes[index] = NodeProcess {
            name: format!("control-{index}-{number}"),
            ip: IpAddr::from([127, 77, self.subnet, FIRST_REPLACEMENT + number]),
            child: Mutex::new(None),
        };
        let control_vms = self.control_ips();
        let seeds = std::mem::replace(&mut self.seeds, control_vms);
        let started = self.start(index, false);
        self.seeds = seeds;
        started
    }

    /// Starts a further entry VM that is told these seeds; returns its index.
    ///
    /// # Errors
    /// Fails if its process cannot be started.
    pub fn add_entry(&mut self, seeds: Vec<IpAddr>) -> Result<usize> {
        let index = self.processes.len();
        let host = FIRST_HOST + u8::try_from(index)?;
        self.processes.push(NodeProcess {
            name: format!("entry-{index}"),
            ip: IpAddr::from([127, 77, self.subnet, host]),
            child: Mutex::new(None),
        });
        let seeds = std::mem::replace(&mut self.seeds, seeds);
        let started = self.start(index, false);
        self.seeds = seeds;
        started.map(|()| index)
    }

    /// Writes the settings file of a node as it would be written at its next start.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn rewrite_settings(&self, index: usize) -> Result<()> {
        let name = &self.processes[index].name;
        let file = self.folder.path().join(format!("{name}.conf"));
        Ok(fs::write(&file, self.settings(index, false)?)?)
    }

    /// Returns the size of the file in which a control VM keeps the addresses of others; 0 without it.
    #[must_use]
    pub fn kept_bytes(&self, index: usize) -> u64 {
        fs::metadata(self.data_dir(index).join("peers")).map_or(0, |file| file.len())
    }

    /// Returns the addresses of the control VMs as they are now.
    fn control_ips(&self) -> Vec<IpAddr> {
        let control = self.processes.iter().take(CONTROL_VMS);
        control.map(|node| node.ip).collect()
    }
}
