//! Cold servers of the fleet.

use super::Fleet;
use crate::cold::{ColdOutlook, Warmth};
use crate::directory::{ServerRecord, ServerStage};
use crate::names::{ServerId, ServiceName, ZoneName};
use crate::time::Moment;

impl Fleet {
    /// Lets the servers of a zone count as cold until their later heartbeats say otherwise.
    ///
    /// Called when an evacuation of the zone ends: its servers may have become cold just before.
    pub fn zone_reopened(&mut self, now: Moment, zone: &ZoneName) {
        let records = self.directory.records().map(|(record, _)| record);
        let in_zone = records.filter(|record| record.zone == *zone);
        self.cold.reopen(now, in_zone);
    }

    /// Forgets the coldness of servers that are gone.
    pub fn forget_gone_cold(&mut self) {
        let directory = &self.directory;
        self.cold.forget_gone(|id| directory.get(id).is_some());
    }

    /// Returns the ready servers of all services that are cold.
    #[must_use]
    pub fn cold_servers(&self, now: Moment) -> Vec<&ServerRecord> {
        let records = self.directory.records().map(|(record, _)| record);
        let cold = records.filter(|record| {
            record.stage == ServerStage::Ready
                && matches!(self.cold.warmth(now, record), Warmth::Cold(_))
        });
        cold.collect()
    }

    /// Whether a service has servers that were not tried, and all of them are cold.
    #[must_use]
    pub fn are_all_cold(&self, now: Moment, service: &ServiceName, tried: &[ServerId]) -> bool {
        let mut left = self.untried(service, tried).peekable();
        let is_cold = |record| matches!(self.cold.warmth(now, record), Warmth::Cold(_));
        left.peek().is_some() && left.all(is_cold)
    }

    /// Returns what callers of a service can expect whose servers are all cold.
    ///
    /// `ahead` requests take turns before the next one.
    #[must_use]
    pub fn cold_outlook(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
        ahead: usize,
    ) -> ColdOutlook {
        self.cold.outlook(now, self.untried(service, tried), ahead)
    }

    /// Returns the ready servers of a service, except those in `tried`.
    fn untried<'a>(
        &'a self,
        service: &'a ServiceName,
        tried: &'a [ServerId],
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let ready = self.open_servers(service).map(|(record, _)| record);
        ready.filter(|record| !tried.contains(&record.id))
    }
}
