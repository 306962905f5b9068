//! Reports of servers on how much longer they are cold, which may arrive late and out of order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::ServerId;
use crate::time::Moment;

/// Delay of a heartbeat by which the end of a cold time may seem to move.
const USUAL_DELAY: Duration = Duration::from_millis(100);

/// What a heartbeat says of a server's coldness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ColdReport {
    /// Id of the server.
    pub server: ServerId,
    /// Start of its lifetime, in Unix milliseconds by its clock.
    pub born: u64,
    /// Sequence number of the heartbeat in this lifetime.
    pub sequence: u64,
    /// How much longer the server is cold; zero if it is warm.
    pub left: Duration,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdChange {
    /// Nothing: a newer report is known.
    Stale,
    /// The server was warm, or its coldness unknown, and is cold.
    BecameCold,
    /// The server was cold and stays so for longer than was known.
    Extended,
    /// The server was cold and is warm.
    BecameWarm,
    /// The server is as cold or as warm as before.
    Confirmed,
}

impl ColdChange {
    /// Whether other VMs must be told at once.
    #[must_use]
    pub const fn is_change(self) -> bool {
        matches!(self, Self::BecameCold | Self::BecameWarm | Self::Extended)
    }
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    born: u64,
    sequence: u64,
    /// End of its latest cold time; `None` if it was warm in all reports on this lifetime.
    until: Option<Moment>,
}

/// Newest report on each server.
#[derive(Debug, Default)]
pub struct ColdReports {
    reported: BTreeMap<ServerId, Reported>,
}

impl ColdReports {
    /// Records a report that arrives now, unless a newer one is known.
    ///
    /// Of two with the same number, the one that lets the server be cold for longer holds.
    pub fn record(&mut self, now: Moment, report: &ColdReport) -> ColdChange {
        let known = self.reported.get(&report.server);
        let order = (report.born, report.sequence);
        if known.is_some_and(|known| order < (known.born, known.sequence)) {
            return ColdChange::Stale;
        }
        let known = known.filter(|known| known.born == report.born);
        let was_until = known.and_then(|known| known.until);
        let was_cold = was_until.is_some_and(|until| now < until);
        let is_same = known.is_some_and(|known| known.sequence == report.sequence);
        let until = if !report.left.is_zero() {
            let until = Some(now + report.left);
            if is_same { until.max(was_until) } else { until }
        } else if was_cold && !is_same {
            Some(now)
        } else {
            was_until
        };
        let reported = Reported {
            born: report.born,
            sequence: report.sequence,
            until,
        };
        self.reported.insert(report.server.clone(), reported);
        match (was_cold, until.is_some_and(|until| now < until)) {
            (false, true) => ColdChange::BecameCold,
            (true, false) => ColdChange::BecameWarm,
            (true, true) if until > was_until.map(|until| until + USUAL_DELAY) => {
                ColdChange::Extended
            }
            (true, true) | (false, false) => ColdChange::Confirmed,
        }
    }

    /// Returns the end of the latest cold time of a lifetime; outer `None` without a report on it.
    ///
    /// A report on a later lifetime holds as well, as its record may arrive after it.
    #[must_use]
    pub fn cold_until(&self, server: &ServerId, born: u64) -> Option<Option<Moment>> {
        let reported = self.reported.get(server)?;
        (reported.born >= born).then_some(reported.until)
    }

    /// Returns what is known of a lifetime of a server, as a report that is true now.
    #[must_use]
    pub fn report(&self, now: Moment, server: &ServerId, born: u64) -> Option<ColdReport> {
        let reported = self.reported.get(server).filter(|r| r.born == born)?;
        Some(ColdReport {
            server: server.clone(),
            born,
            sequence: reported.sequence,
            left: reported.until.map_or(Duration::ZERO, |u| u.since(now)),
        })
    }

    /// Forgets the reports on servers that do not match.
    pub fn retain(&mut self, matches: impl Fn(&ServerId) -> bool) {
        self.reported.retain(|server, _| matches(server));
    }
}
