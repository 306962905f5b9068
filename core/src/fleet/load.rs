//! Load of the servers: placements, plain calls, reported loads and learned capacities.

use std::time::Duration;

use super::Fleet;
use crate::capacity::CapacityChange;
use crate::directory::ServerRecord;
use crate::engine_model::EngineProfile;
use crate::engine_placement::loads::{PlacedPrompt, PlacementKey};
use crate::link_policy::LinkLoss;
use crate::names::{ServerId, VmId};
use crate::time::Moment;

/// Time for which a load reported by a server is used.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(500);

/// Load that a server reported in a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    at: Moment,
    /// Requests running and waiting at the server.
    busy: u32,
}

impl Fleet {
    /// Adds a placement made by this or another entry VM.
    pub fn add_placement(
        &mut self,
        now: Moment,
        key: &PlacementKey,
        profile: &EngineProfile,
        placed: &PlacedPrompt,
    ) {
        self.loads.add(now, key, profile, placed);
    }

    /// Removes the placements of an entry VM whose link was lost.
    ///
    /// Those of a VM that fell silent stay until their expected end, as engines go on with them.
    pub fn entry_lost(&mut self, now: Moment, entry: &VmId, loss: LinkLoss) {
        match loss {
            LinkLoss::Closed => self.loads.remove_entry(now, entry),
            LinkLoss::Silent => self.loads.lapse_entry(now, entry),
        }
    }

    /// Counts a plain call to a server as in progress.
    pub fn call_began(&mut self, server: &ServerId) {
        *self.calls.entry(server.clone()).or_default() += 1;
    }

    /// Removes a plain call that ended from the count.
    pub fn call_ended(&mut self, server: &ServerId) {
        if let Some(calls) = self.calls.get_mut(server) {
            *calls = calls.saturating_sub(1);
        }
    }

    /// Records the load reported by a server, in requests running and waiting.
    pub fn record_load(&mut self, now: Moment, server: &ServerId, busy: u32) {
        let report = ReportedLoad { at: now, busy };
        self.load_reports.insert(server.clone(), report);
    }

    /// Returns the requests at a server: the reported ones or this VM's calls, whichever are more.
    #[must_use]
    pub fn busy(&self, now: Moment, server: &ServerRecord) -> u32 {
        let own = self.calls.get(&server.id).copied().unwrap_or(0);
        let report = self.load_reports.get(&server.id);
        let report = report.filter(|report| now.since(report.at) < LOAD_REPORT_LIFETIME);
        report.map_or(own, |report| report.busy.max(own))
    }

    /// Returns the requests at a server as a fraction of its slots or its learned limit.
    pub(super) fn occupancy(&self, now: Moment, server: &ServerRecord) -> f64 {
        let usable = self.loads.learned().limit(&server.id, server.slots.max(1));
        f64::from(self.busy(now, server)) / f64::from(usable)
    }

    /// Computes the learned capacities from all estimates and uses them; returns what changed.
    pub fn refresh_capacities(&mut self, now: Moment) -> Vec<CapacityChange> {
        let Some(capacities) = &mut self.capacities else {
            return Vec::new();
        };
        let changes = capacities.refresh(now, &self.directory);
        if !changes.is_empty() {
            self.loads.set_learned(now, capacities.learned().clone());
        }
        changes
    }
}
