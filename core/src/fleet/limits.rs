//! Servers with limited request rates, the permits to send to them, and servers held back.

use std::time::Duration;

use super::Fleet;
use crate::directory::{Incarnation, ServerStage};
use crate::names::{ServerId, ServiceName};
use crate::time::Moment;

impl Fleet {
    /// Holds a lifetime of a server back, which said in an answer that it wants no requests.
    ///
    /// Returns whether that extends the time; a lifetime that has ended is ignored.
    pub fn hold_back(&mut self, now: Moment, incarnation: &Incarnation, time: Duration) -> bool {
        let record = self.directory.get(&incarnation.server);
        record.is_some_and(|record| record.born == incarnation.born)
            && self.hold_offs.hold(now, incarnation, time)
    }

    /// Returns the shortest time left if all servers of a service are held back.
    #[must_use]
    pub fn all_held_back(&self, now: Moment, service: &ServiceName) -> Option<Duration> {
        let ready = self.open_servers(service);
        let left = ready.map(|(record, _)| self.hold_offs.time_left(now, &record.id));
        let left: Option<Vec<_>> = left.collect();
        left?.into_iter().min()
    }

    /// Asks for permits to send requests to those servers of a service that have limits.
    ///
    /// Suspended servers and those in `tried` are left out.
    pub fn request_permits(&mut self, now: Moment, service: &ServiceName, tried: &[ServerId]) {
        for server in self.limited_servers(now, service, tried) {
            self.rates.request(now, &server);
        }
    }

    /// Returns how many permits are promised or asked for, for servers of a service.
    #[must_use]
    pub fn promised_permits(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
    ) -> usize {
        let limited = self.limited_servers(now, service, tried);
        self.rates.promised(now, limited.iter())
    }

    /// Whether a service has servers that were not tried, and all of them have limits.
    #[must_use]
    pub fn are_all_limited(&self, service: &ServiceName, tried: &[ServerId]) -> bool {
        let ready = self.open_servers(service).map(|(record, _)| &record.id);
        let mut left = ready.filter(|id| !tried.contains(id)).peekable();
        left.peek().is_some() && left.all(|id| self.rates.is_limited(id))
    }

    /// Returns this VM's part of the limits of a service's servers, in requests a second.
    #[must_use]
    pub fn fair_rate(&self, now: Moment, service: &ServiceName) -> f64 {
        let limited = self.limited_servers(now, service, &[]);
        self.rates.fair_rate(limited.iter())
    }

    /// Forgets the limits of servers that are gone.
    pub fn forget_gone_limits(&mut self, now: Moment) {
        let directory = &self.directory;
        let is_known = |server: &ServerId| {
            let record = directory.get(server);
            record.is_some_and(|record| record.stage != ServerStage::Gone)
        };
        self.rates.forget_gone(now, is_known);
    }

    /// Returns the servers with limits that would get work without them.
    fn limited_servers(
        &self,
        now: Moment,
        service: &ServiceName,
        tried: &[ServerId],
    ) -> Vec<ServerId> {
        let ready = self.open_servers(service).map(|(record, _)| &record.id);
        let limited = ready.filter(|id| {
            self.rates.is_limited(id)
                && !tried.contains(id)
                && !self.health.is_suspended(now, id)
                && self.hold_offs.time_left(now, id).is_none()
        });
        limited.cloned().collect()
    }
}
