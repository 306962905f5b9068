//! Estimates of one server by several observers, and their robust mean.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine_model::as_float;
use crate::names::VmId;
use crate::time::{Moment, duration_millis};

/// Time in which an estimate loses half of its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Age from which an estimate is not used any more.
///
/// Without new samples a server gets work again by then, which is how it is probed.
pub(super) const LIFETIME: Duration = Duration::from_secs(8);
/// Weight of the assumption that a server has its nominal pace.
///
/// A single estimate does not outweigh it, and two do.
const NOMINAL_WEIGHT: f64 = 1.0;
/// Smallest and largest pace of an estimate.
const PACE_RANGE: (f64, f64) = (0.25, 8.0);

/// What one observer found of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time seen over time predicted; 1 is nominal.
    pub pace: f64,
    /// How certain the estimate is, from 0 to 1: a prompt on several engines says less of each.
    pub weight: f64,
    /// Requests at the server when the sample was placed there.
    pub busy: u32,
    /// When the sample was taken.
    pub at: Moment,
}

impl Estimate {
    /// Bounds an estimate of another VM; `None` if it has no meaning.
    #[must_use]
    pub fn bounded(self) -> Option<Self> {
        let is_valid = self.pace.is_finite() && self.weight.is_finite() && self.pace > 0.0;
        is_valid.then(|| Self {
            pace: self.pace.clamp(PACE_RANGE.0, PACE_RANGE.1),
            weight: self.weight.clamp(0.0, 1.0),
            ..self
        })
    }

    /// Returns the weight that is left by age.
    pub(super) fn weight_left(&self, now: Moment) -> f64 {
        let age = as_float(duration_millis(now.since(self.at)));
        self.weight * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// Returns the pace that others still assume from this estimate alone.
    pub(super) fn pace_left(&self, now: Moment) -> f64 {
        1.0 + (self.pace - 1.0) * self.weight_left(now)
    }
}

/// Newest estimate of each observer.
#[derive(Debug, Default)]
pub(super) struct Votes {
    pub(super) by_observer: BTreeMap<VmId, Estimate>,
}

impl Votes {
    /// Removes estimates older than `lifetime`.
    pub(super) fn expire(&mut self, now: Moment, lifetime: Duration) {
        let votes = &mut self.by_observer;
        votes.retain(|_, vote| now.since(vote.at) < lifetime);
    }

    /// Returns the weighted median of the paces, with the nominal one among them.
    ///
    /// `influence` scales the weight of an observer, from 0 to 1.
    pub(super) fn pace(&self, now: Moment, influence: impl Fn(&VmId) -> f64) -> f64 {
        let votes = self.by_observer.iter();
        let mut weighted: Vec<_> = votes
            .map(|(vm, vote)| (vote.pace, vote.weight_left(now) * influence(vm)))
            .chain([(1.0, NOMINAL_WEIGHT)])
            .collect();
        weighted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let half = weighted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
        let mut below = 0.0;
        let reached = weighted.iter().find(|(_, weight)| {
            below += weight;
            below >= half
        });
        reached.map_or(1.0, |(pace, _)| *pace)
    }

    /// Returns the median number of requests at which the server was late; `None` if it was not.
    pub(super) fn late_busy(&self, min_pace: f64) -> Option<f64> {
        let late = self.by_observer.values().filter(|v| v.pace >= min_pace);
        let busy: Vec<_> = late.map(|vote| f64::from(vote.busy)).collect();
        (!busy.is_empty()).then(|| super::baseline::median(busy.into_iter()))
    }

    /// Returns when the oldest estimate of at least `min_pace` was made; `None` without any.
    pub(super) fn first_late(&self, min_pace: f64) -> Option<Moment> {
        let late = self.by_observer.values().filter(|v| v.pace >= min_pace);
        late.map(|vote| vote.at).min()
    }

    /// Returns the time of the newest estimate.
    pub(super) fn newest(&self) -> Option<Moment> {
        self.by_observer.values().map(|vote| vote.at).max()
    }
}
