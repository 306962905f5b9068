//! Paces and limits in use, by server.

use std::collections::BTreeMap;

use crate::names::ServerId;

/// Learned capacity of a server that differs from its nominal one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Time that the server takes, as a multiple of its nominal time; positive.
    pub pace: f64,
    /// Concurrent requests that it takes well, at least 1; `None` if these are all its slots.
    pub limit: Option<u32>,
}

/// Learned capacities; a server that is not listed has its nominal one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedTable {
    servers: BTreeMap<ServerId, Capacity>,
}

impl LearnedTable {
    /// Returns the pace of a server; 1 is nominal.
    #[must_use]
    pub fn pace(&self, server: &ServerId) -> f64 {
        self.servers.get(server).map_or(1.0, |c| c.pace)
    }

    /// Returns how many concurrent requests a server with `slots` slots takes well.
    #[must_use]
    pub fn limit(&self, server: &ServerId, slots: u32) -> u32 {
        let learned = self.servers.get(server).and_then(|c| c.limit);
        learned.map_or(slots, |limit| limit.min(slots))
    }

    /// Returns the servers whose capacity differs from the nominal one.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Capacity)> {
        self.servers.iter()
    }

    /// Returns the capacity of a server; `None` if it is nominal.
    #[must_use]
    pub fn get(&self, server: &ServerId) -> Option<&Capacity> {
        self.servers.get(server)
    }

    /// Sets the capacity of a server.
    pub fn insert(&mut self, server: ServerId, capacity: Capacity) {
        self.servers.insert(server, capacity);
    }
}
