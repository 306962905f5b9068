//! Weight of requests by their rank, relative to the other ranks of their service.
//!
//! Rank 0 goes first. A customer's rank takes precedence over that of the route. Only the order of
//! the ranks counts: the most urgent rank of a service weighs most and the least urgent one least,
//! in even steps between, so that many ranks make no larger difference than two. A service with
//! one rank has equal weights, and its requests are placed as without ranks.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::deployment::{CallKind, CustomerRule, RouteRule};
use crate::engine_model::EngineProfile;

/// Weight of the most urgent rank, and one over that of the least urgent rank.
///
/// With it, the longest prompts of the least urgent rank are in time up to 4 in 100 less often in a
/// burst; no request is to lose more than 5 in 100 by its rank.
const LARGEST_WEIGHT: f64 = 2.0;
/// Engine priorities by upper bound of the prefill time, in milliseconds; shorter goes first.
///
/// The prefill time is that of the whole prompt on one otherwise idle engine.
const ENGINE_PRIORITIES: [(f64, u8); 3] = [(80.0, 2), (700.0, 4), (f64::INFINITY, 6)];

/// How a request stands against the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Factor on the value of the request; 1 without other ranks.
    pub weight: f64,
    /// Change of the engine priority: -1 for the most urgent rank, 1 for the least urgent one.
    priority_change: i8,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            weight: 1.0,
            priority_change: 0,
        }
    }
}

impl Standing {
    /// Returns the scheduling priority at the engine, from 0 (first) to 9.
    ///
    /// It follows the length of the prompt; by the rank it changes by less than from one length to
    /// the next, so that a long prompt does not go before short ones of a less urgent rank.
    #[must_use]
    pub fn engine_priority(&self, profile: &EngineProfile, prompt_tokens: u64) -> u8 {
        let prefill_ms = profile.prefill_time(prompt_tokens);
        let by_length = ENGINE_PRIORITIES
            .iter()
            .find(|(max_ms, _)| prefill_ms < *max_ms);
        let by_length = by_length.map_or(9, |(_, priority)| *priority);
        by_length.saturating_add_signed(self.priority_change).min(9)
    }
}

/// Ranks of the requests that a service may get.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRanks {
    ranks: BTreeSet<u8>,
    /// Objectives for the first event and for pauses, and the rank, of each route.
    routes: Vec<(Duration, Duration, u8)>,
}

impl FromIterator<u8> for ServiceRanks {
    /// Collects ranks without their routes.
    fn from_iter<T: IntoIterator<Item = u8>>(iter: T) -> Self {
        Self {
            ranks: iter.into_iter().collect(),
            routes: Vec::new(),
        }
    }
}

impl ServiceRanks {
    /// Collects the ranks of the routes to a service, and those of all customers.
    #[must_use]
    pub fn new<'a>(
        routes: impl Iterator<Item = &'a RouteRule>,
        customers: impl Iterator<Item = &'a CustomerRule>,
    ) -> Self {
        let routes: Vec<_> = routes
            .map(|route| (route.objective, pause_objective(route), route.priority))
            .collect();
        let by_route = routes.iter().map(|(_, _, rank)| *rank);
        let ranks = by_route.chain(customers.filter_map(|customer| customer.priority));
        Self {
            ranks: ranks.collect(),
            routes,
        }
    }

    /// Returns the ranks, the most urgent one first.
    pub fn iter(&self) -> impl Iterator<Item = u8> + '_ {
        self.ranks.iter().copied()
    }

    /// Returns the standing of a rank; a rank that is not listed stands as the next one that is.
    #[must_use]
    pub fn standing(&self, rank: u8) -> Standing {
        let Some(last) = self.ranks.len().checked_sub(1).filter(|last| *last > 0) else {
            return Standing::default();
        };
        let position = self.ranks.range(..rank).count().min(last);
        let step = |count: usize| f64::from(u8::try_from(count).unwrap_or(u8::MAX));
        let urgency = 1.0 - 2.0 * step(position) / step(last);
        Standing {
            weight: LARGEST_WEIGHT.powf(urgency),
            priority_change: match position {
                0 => -1,
                position if position == last => 1,
                _ => 0,
            },
        }
    }

    /// Returns the standing of a request of a customer on a route.
    #[must_use]
    pub fn standing_of(&self, route: &RouteRule, customer: Option<&CustomerRule>) -> Standing {
        let of_customer = customer.and_then(|customer| customer.priority);
        self.standing(of_customer.unwrap_or(route.priority))
    }

    /// Returns the weight of a prompt that another VM placed, of which only objectives are known.
    ///
    /// They tell its route; the rank of its customer is not known. Weighs 1 if routes of several
    /// ranks have these objectives, or none has.
    #[must_use]
    pub fn weight_by_objectives(&self, first_event: Duration, pause: Duration) -> f64 {
        let millis = |time: Duration| time.as_millis();
        let routes = self.routes.iter().filter(|(objective, longest, _)| {
            (millis(*objective), millis(*longest)) == (millis(first_event), millis(pause))
        });
        let ranks: BTreeSet<_> = routes.map(|(_, _, rank)| *rank).collect();
        match ranks.first() {
            Some(rank) if ranks.len() == 1 => self.standing(*rank).weight,
            _ => 1.0,
        }
    }
}

/// Returns the objective for the longest pause between two events of an answer.
#[must_use]
pub fn pause_objective(route: &RouteRule) -> Duration {
    match route.kind {
        CallKind::Stream { pause, .. } => pause,
        CallKind::Idempotent | CallKind::AtMostOnce => route.timeout,
    }
}
