//! Targets of attempts: a server, or another VM that makes the attempt.

use std::fmt;

use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::{ServerId, VmId};

use super::failure::Failure;

/// Where an attempt is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Target {
    /// A backend server, in this lifetime.
    Server(Incarnation),
    /// Another VM, which selects a server itself.
    Vm {
        vm: VmId,
        /// The server that answered; `None` before its answer.
        server: Option<ServerId>,
    },
}

impl Target {
    /// Returns the lifetime of the server, if this VM has selected one.
    pub(super) fn incarnation(&self) -> Option<&Incarnation> {
        match self {
            Self::Server(incarnation) => Some(incarnation),
            Self::Vm { .. } => None,
        }
    }

    /// Whether both are the same server or the same VM.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Server(one), Self::Server(other)) => one.server == other.server,
            (Self::Vm { vm: one, .. }, Self::Vm { vm: other, .. }) => one == other,
            _ => false,
        }
    }

    /// Returns the start of the server's lifetime for logs.
    pub(super) fn born(&self) -> Option<u64> {
        self.incarnation().map(|incarnation| incarnation.born)
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(incarnation) => write!(f, "{}", incarnation.server),
            Self::Vm { vm, server: None } => write!(f, "by way of {vm}"),
            Self::Vm {
                vm,
                server: Some(server),
            } => write!(f, "{server} by way of {vm}"),
        }
    }
}

/// Servers and VMs that are not selected for a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Excluded {
    /// Servers that failed an attempt, or have one in progress.
    pub(super) servers: Vec<ServerId>,
    /// Servers that this VM did not reach; another VM may.
    pub(super) unreached: Vec<ServerId>,
    /// Other VMs that failed an attempt, or have one in progress.
    pub(super) vms: Vec<VmId>,
}

impl Excluded {
    /// Adds a target whose attempt failed.
    pub(super) fn push_failed(&mut self, target: &Target, failure: Failure) {
        match target {
            Target::Server(incarnation) if failure == Failure::Unreachable => {
                self.unreached.push(incarnation.server.clone());
            }
            _ => self.push(target),
        }
    }

    /// Returns the servers that this VM must not select.
    pub(super) fn here(&self) -> Vec<ServerId> {
        let servers = self.servers.iter().chain(&self.unreached);
        servers.cloned().collect()
    }

    /// Adds a target; of one by way of another VM the server, if it is known.
    pub(super) fn push(&mut self, target: &Target) {
        match target {
            Target::Server(incarnation) => self.servers.push(incarnation.server.clone()),
            Target::Vm {
                server: Some(server),
                ..
            } => self.servers.push(server.clone()),
            Target::Vm { vm, server: None } => self.vms.push(vm.clone()),
        }
    }

    /// Adds several targets.
    pub(super) fn extend<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        targets.for_each(|target| self.push(target));
    }
}
