//! The queue of one dispatcher: fair between customers by work, shorter work first inside one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::CustomerName;
use crate::time::Moment;
use crate::units::RequestId;

/// Microseconds of engine time over weight: the measure of what a customer has used.
type VirtualTime = u64;

/// One waiting request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its id.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerName,
    /// Weight of its customer; positive.
    pub weight: u32,
    /// Predicted engine time.
    pub work: Duration,
    /// Since when it waits.
    pub since: Moment,
}

#[derive(Debug, Default)]
struct CustomerQueue {
    used: VirtualTime,
    waiting: Vec<Waiting>,
}

/// Weighted fair queue over customers.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Customers that wait or waited; idle ones are forgotten once others have caught up.
    customers: BTreeMap<CustomerName, CustomerQueue>,
    /// Virtual time of the last request taken; never goes back.
    clock: VirtualTime,
    len: usize,
}

impl FairQueue {
    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let clock = self.clock;
        let queue = self.customers.entry(waiting.customer.clone()).or_default();
        if queue.waiting.is_empty() {
            // A customer that was idle gets no credit for the time it did not use.
            queue.used = queue.used.max(clock);
        }
        queue.waiting.push(waiting);
        self.len += 1;
    }

    /// Returns the request to place next, without taking it.
    #[must_use]
    pub fn peek(&self, now: Moment, aging: Duration) -> Option<&Waiting> {
        self.ordered(now, aging).into_iter().next()
    }

    /// Returns each customer's next request, the customer that used least first.
    #[must_use]
    pub fn ordered(&self, now: Moment, aging: Duration) -> Vec<&Waiting> {
        let mut heads: Vec<_> = self
            .customers
            .values()
            .filter_map(|queue| Some((queue.used, queue.head(now, aging)?)))
            .collect();
        heads.sort_by_key(|(used, head)| (*used, head.since, head.request));
        heads.into_iter().map(|(_, head)| head).collect()
    }

    /// Takes a request out to be placed, and charges its customer for the work.
    pub fn take(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.remove(request)?;
        let queue = self.customers.get_mut(&waiting.customer)?;
        self.clock = self.clock.max(queue.used);
        queue.used += charge(&waiting);
        self.forget_idle();
        Some(waiting)
    }

    /// Takes a request out that is not going to be placed; nobody is charged.
    pub fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let queue = self.customers.values_mut().find(|queue| {
            queue
                .waiting
                .iter()
                .any(|waiting| waiting.request == request)
        })?;
        let index = queue
            .waiting
            .iter()
            .position(|waiting| waiting.request == request)?;
        self.len -= 1;
        Some(queue.waiting.swap_remove(index))
    }

    /// Returns the predicted engine time of all that waits.
    #[must_use]
    pub fn work(&self) -> Duration {
        self.customers
            .values()
            .flat_map(|queue| &queue.waiting)
            .map(|waiting| waiting.work)
            .sum()
    }

    fn forget_idle(&mut self) {
        let clock = self.clock;
        self.customers
            .retain(|_, queue| !queue.waiting.is_empty() || queue.used > clock);
    }
}

impl CustomerQueue {
    fn head(&self, now: Moment, aging: Duration) -> Option<&Waiting> {
        self.waiting.iter().min_by_key(|waiting| {
            (
                aged_work(waiting, now, aging),
                waiting.since,
                waiting.request,
            )
        })
    }
}

/// Work that shrinks with waiting: after `aging` it counts half, after twice `aging` a third.
fn aged_work(waiting: &Waiting, now: Moment, aging: Duration) -> Duration {
    let waited = now.since(waiting.since).as_secs_f64() / aging.as_secs_f64().max(f64::EPSILON);
    waiting.work.div_f64(1.0 + waited)
}

fn charge(waiting: &Waiting) -> VirtualTime {
    let micros = u64::try_from(waiting.work.as_micros()).unwrap_or(u64::MAX);
    micros.max(1) / u64::from(waiting.weight.max(1))
}
