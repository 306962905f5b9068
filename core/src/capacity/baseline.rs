//! What this VM's samples are compared with, so that load and the network do not count as a slow
//! server.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::names::{ServerId, ServiceName, ZoneName};
use crate::time::Moment;

/// Answer times of plain calls that are kept for a service.
const USUAL_SAMPLES: usize = 15;
/// Answer times from which the usual one is known.
const MIN_USUAL_SAMPLES: usize = 5;
/// Samples that are kept for the delay of a zone.
const DELAY_SAMPLES: usize = 8;
/// Samples from which the delay of a zone is known.
const MIN_DELAY_SAMPLES: usize = 4;
/// Longest delay of a zone that is subtracted, in milliseconds.
///
/// More would hide that all servers of a zone are slow.
const MAX_DELAY_MS: f64 = 100.0;
/// Samples of one service that are compared with each other.
const PEER_SAMPLES: usize = 8;
/// Samples of other servers from which a sample is compared with them.
const MIN_PEER_SAMPLES: usize = 3;
/// Age up to which samples are compared with each other.
const PEER_LIFETIME: Duration = Duration::from_secs(5);

/// Recent samples of this VM.
#[derive(Debug, Default)]
pub(super) struct Baseline {
    /// Answer times of plain calls, in milliseconds.
    answer_times: BTreeMap<ServiceName, VecDeque<f64>>,
    /// Times above the nominal ones, in milliseconds.
    excess: BTreeMap<ZoneName, VecDeque<f64>>,
    /// Ratios of the newest samples.
    ratios: BTreeMap<ServiceName, VecDeque<(Moment, ServerId, f64)>>,
}

impl Baseline {
    /// Adds the answer time of a plain call; returns the usual one of the calls before it, if known.
    pub(super) fn usual_time(&mut self, service: &ServiceName, took: f64) -> Option<f64> {
        let times = self.answer_times.entry(service.clone()).or_default();
        let usual = (times.len() >= MIN_USUAL_SAMPLES).then(|| median(times.iter().copied()));
        push(times, took, USUAL_SAMPLES);
        usual.filter(|usual| *usual > 0.0)
    }

    /// Adds the time of a sample above its nominal one; returns what the network adds, which is at
    /// most the least of the zone's recent samples.
    pub(super) fn network_delay(&mut self, zone: &ZoneName, excess: f64) -> f64 {
        let known = self.excess.entry(zone.clone()).or_default();
        push(known, excess, DELAY_SAMPLES);
        if known.len() < MIN_DELAY_SAMPLES {
            return 0.0;
        }
        let least = known.iter().copied().fold(f64::INFINITY, f64::min);
        least.clamp(0.0, MAX_DELAY_MS)
    }

    /// Adds the ratio of a sample; returns the median ratio of other servers of the service, at
    /// least 1.
    pub(super) fn load_factor(
        &mut self,
        now: Moment,
        service: &ServiceName,
        server: &ServerId,
        ratio: f64,
    ) -> f64 {
        let ratios = self.ratios.entry(service.clone()).or_default();
        ratios.retain(|(at, _, _)| now.since(*at) < PEER_LIFETIME);
        let others = ratios.iter().filter(|(_, other, _)| other != server);
        let others: Vec<_> = others.map(|(_, _, ratio)| *ratio).collect();
        push(ratios, (now, server.clone(), ratio), PEER_SAMPLES);
        if others.len() < MIN_PEER_SAMPLES {
            return 1.0;
        }
        median(others.into_iter()).max(1.0)
    }
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
