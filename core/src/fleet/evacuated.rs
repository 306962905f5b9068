//! Evacuated zones and the servers outside of them.

use super::Fleet;
use crate::directory::ServerRecord;
use crate::evacuation::Evacuations;
use crate::names::{ServerId, ServiceName};
use crate::time::Moment;

impl Fleet {
    /// Returns the newest evacuated zones that this VM was told.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Replaces the evacuated zones if `newer` has a higher revision; returns whether it has.
    pub fn update_evacuations(&mut self, now: Moment, newer: Evacuations) -> bool {
        let Some(reopened) = self.evacuations.replace(newer) else {
            return false;
        };
        for zone in &reopened {
            self.zone_reopened(now, zone);
        }
        true
    }

    /// Whether a server is in an evacuated zone.
    #[must_use]
    pub fn is_evacuated(&self, server: &ServerId) -> bool {
        let record = self.directory.get(server);
        record.is_some_and(|record| self.evacuations.zones.contains(&record.zone))
    }

    /// Returns the plain calls of this VM that still run in evacuated zones.
    #[must_use]
    pub fn evacuated_calls(&self) -> u32 {
        let evacuated = self.calls.iter().filter(|(id, _)| self.is_evacuated(id));
        evacuated.map(|(_, calls)| calls).sum()
    }

    /// Returns the ready servers of a service outside of evacuated zones.
    ///
    /// Whatever selects servers starts from these, so that no fallback reaches an evacuated zone.
    pub(super) fn open_servers<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a ServerRecord, Moment)> + 'a {
        let ready = self.directory.ready(service);
        ready.filter(|(record, _)| !self.evacuations.zones.contains(&record.zone))
    }
}
