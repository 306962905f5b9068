//! What this VM's samples are compared with, so that load, the network and errors of the prediction
//! do not count as a slow server.

use std::collections::{BTreeMap, VecDeque};

use crate::names::{ServerId, ServiceName, ZoneName};

/// Servers of a service from whose samples the usual ratio is taken.
const USUAL_SERVERS: usize = 15;
/// Samples that are kept for each of them.
///
/// A VM that has most of its samples from one server does not take its slowness for usual.
const SERVER_SAMPLES: usize = 5;
/// Samples from which the usual ratio is known.
const MIN_USUAL_SAMPLES: usize = 5;
/// Newest samples whose median shows that the whole service is late at once.
const RECENT_SAMPLES: usize = 5;
/// Samples that are kept for the delay of a zone.
const DELAY_SAMPLES: usize = 8;
/// Samples from which the delay of a zone is known.
const MIN_DELAY_SAMPLES: usize = 2;
/// Longest delay of a zone that is subtracted, in milliseconds.
///
/// More would hide that all servers of a zone are slow.
const MAX_DELAY_MS: f64 = 100.0;

/// Samples that are compared with each other: plain calls and prompts of a service.
pub(super) type Group = (ServiceName, bool);

/// Recent samples of this VM.
#[derive(Debug, Default)]
pub(super) struct Baseline {
    /// Servers and ratios of the newest samples, the oldest first.
    ratios: BTreeMap<Group, VecDeque<(ServerId, f64)>>,
    /// Times above the expected ones, in milliseconds.
    excess: BTreeMap<ZoneName, VecDeque<f64>>,
}

impl Baseline {
    /// Adds the ratio of a sample: its time over the nominal one.
    pub(super) fn add_ratio(&mut self, group: &Group, server: &ServerId, ratio: f64) {
        let ratios = self.ratios.entry(group.clone()).or_default();
        let is_same = |(other, _): &(ServerId, f64)| other == server;
        if ratios.iter().filter(|sample| is_same(sample)).count() == SERVER_SAMPLES {
            let oldest = ratios.iter().position(is_same);
            oldest.map(|oldest| ratios.remove(oldest));
        }
        ratios.push_back((server.clone(), ratio));
        if by_server(ratios).len() > USUAL_SERVERS {
            ratios.pop_front();
        }
    }

    /// Returns the usual ratio, or the one of the newest samples of servers other than `server` if
    /// that is larger; `None` while there are too few.
    ///
    /// The usual ratio is the median over servers.
    pub(super) fn usual(&self, group: &Group, server: &ServerId) -> Option<f64> {
        let ratios = self.ratios.get(group)?;
        if ratios.len() < MIN_USUAL_SAMPLES {
            return None;
        }
        let others = ratios.iter().rev().filter(|(other, _)| other != server);
        let recent: Vec<_> = others.take(RECENT_SAMPLES).map(|(_, r)| *r).collect();
        let recent = if recent.len() < RECENT_SAMPLES {
            0.0
        } else {
            median(recent.into_iter())
        };
        let servers = by_server(ratios).into_values();
        let usual = median(servers.map(|ratios| median(ratios.into_iter())));
        Some(usual.max(recent))
    }

    /// Adds the time of a sample above the expected one; returns the delay with it.
    pub(super) fn add_delay(&mut self, zone: &ZoneName, excess: f64) -> f64 {
        let known = self.excess.entry(zone.clone()).or_default();
        push(known, excess, DELAY_SAMPLES);
        self.delay(zone)
    }

    /// Returns what the network adds at most: the least of the zone's recent samples, and
    /// `MAX_DELAY_MS` while these are too few.
    pub(super) fn delay(&self, zone: &ZoneName) -> f64 {
        let known = self.excess.get(zone);
        let Some(known) = known.filter(|known| known.len() >= MIN_DELAY_SAMPLES) else {
            return MAX_DELAY_MS;
        };
        let least = known.iter().copied().fold(f64::INFINITY, f64::min);
        least.clamp(0.0, MAX_DELAY_MS)
    }
}

fn by_server(ratios: &VecDeque<(ServerId, f64)>) -> BTreeMap<&ServerId, Vec<f64>> {
    let mut servers: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (server, ratio) in ratios {
        servers.entry(server).or_default().push(*ratio);
    }
    servers
}

fn push<T>(values: &mut VecDeque<T>, value: T, most: usize) {
    if values.len() == most {
        values.pop_front();
    }
    values.push_back(value);
}

/// Returns the lower median of some numbers; 0 if there are none.
pub(super) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<_> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len().saturating_sub(1) / 2;
    sorted.get(middle).copied().unwrap_or(0.0)
}
