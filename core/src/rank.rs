//! Weight of requests by their rank, relative to the other ranks of their service.
//!
//! Rank 0 goes first. Only the order of the ranks counts: the most urgent rank of a service weighs
//! most and the least urgent one least, in even steps between, so that many ranks make no larger
//! difference than two. A service with one rank has equal weights, and its requests are placed as
//! without ranks.
//!
//! Placement weighs the ranks of routes, which all VMs know of each other's prompts. A customer's
//! rank takes precedence over that of the route where requests are in one place: at an engine.

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
    /// Ranks of the routes.
    ranks: BTreeSet<u8>,
    /// Ranks of the routes and of all customers.
    all_ranks: BTreeSet<u8>,
    /// Objectives for the first event and for pauses, and the rank, of each route.
    routes: Vec<(Duration, Duration, u8)>,
}

impl FromIterator<u8> for ServiceRanks {
    /// Collects ranks without their routes.
    fn from_iter<T: IntoIterator<Item = u8>>(iter: T) -> Self {
        let ranks: BTreeSet<_> = iter.into_iter().collect();
        Self {
            all_ranks: ranks.clone(),
            ranks,
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
        let ranks: BTreeSet<_> = routes.iter().map(|(_, _, rank)| *rank).collect();
        let of_customers = customers.filter_map(|customer| customer.priority);
        Self {
            all_ranks: of_customers.chain(ranks.iter().copied()).collect(),
            ranks,
            routes,
        }
    }

    /// Returns the ranks of routes and customers, the most urgent one first.
    pub fn iter(&self) -> impl Iterator<Item = u8> + '_ {
        self.all_ranks.iter().copied()
    }

    /// Returns the standing of a request on a route of this rank, whose customer has none.
    #[must_use]
    pub fn standing(&self, rank: u8) -> Standing {
        Standing {
            weight: self.weight(rank),
            priority_change: self.priority_change(rank),
        }
    }

    /// Returns the weight of a route's rank.
    fn weight(&self, rank: u8) -> f64 {
        let step = |count: usize| f64::from(u8::try_from(count).unwrap_or(u8::MAX));
        position(&self.ranks, rank).map_or(1.0, |(position, last)| {
            LARGEST_WEIGHT.powf(1.0 - 2.0 * step(position) / step(last))
        })
    }

    /// Returns by how much a rank changes the priority at an engine.
    fn priority_change(&self, rank: u8) -> i8 {
        match position(&self.all_ranks, rank) {
            Some((0, _)) => -1,
            Some((position, last)) if position == last => 1,
            _ => 0,
        }
    }

    /// Returns the standing of a request of a customer on a route.
    #[must_use]
    pub fn standing_of(&self, route: &RouteRule, customer: Option<&CustomerRule>) -> Standing {
        let of_customer = customer.and_then(|customer| customer.priority);
        Standing {
            weight: self.weight(route.priority),
            priority_change: self.priority_change(of_customer.unwrap_or(route.priority)),
        }
    }

    /// Returns the weight of a prompt that another VM placed, of which only objectives are known.
    ///
    /// They tell its route. Weighs 1 if routes of several ranks have these objectives, or none has.
    #[must_use]
    pub fn weight_by_objectives(&self, first_event: Duration, pause: Duration) -> f64 {
        let millis = |time: Duration| time.as_millis();
        let routes = self.routes.iter().filter(|(objective, longest, _)| {
            (millis(*objective), millis(*longest)) == (millis(first_event), millis(pause))
        });
        let ranks: BTreeSet<_> = routes.map(|(_, _, rank)| *rank).collect();
        match ranks.first() {
            Some(rank) if ranks.len() == 1 => self.weight(*rank),
            _ => 1.0,
        }
    }
}

/// Returns the position of a rank and that of the last one; `None` if there is but one rank.
///
/// A rank that is not listed stands as the next one that is.
fn position(ranks: &BTreeSet<u8>, rank: u8) -> Option<(usize, usize)> {
    let last = ranks.len().checked_sub(1).filter(|last| *last > 0)?;
    Some((ranks.range(..rank).count().min(last), last))
}

/// Returns the objective for the longest pause between two events of an answer.
#[must_use]
pub fn pause_objective(route: &RouteRule) -> Duration {
    match route.kind {
        CallKind::Stream { pause, .. } => pause,
        CallKind::Idempotent | CallKind::AtMostOnce => route.timeout,
    }
}
