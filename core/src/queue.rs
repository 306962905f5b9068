//! Weighted fair queue: fair between customers by predicted work, shortest work first within one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::CustomerName;
use crate::time::Moment;
use crate::units::RequestId;

/// Engine time charged to a customer, in microseconds divided by the customer's weight.
type VirtualTime = u64;

/// A request in a queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Customer whose share it is charged to.
    pub customer: CustomerName,
    /// Weight of the customer; positive.
    pub weight: u32,
    /// Predicted engine time of the whole request.
    pub work: Duration,
    /// When it was queued.
    pub queued_at: Moment,
}

#[derive(Debug, Default)]
struct CustomerQueue {
    virtual_time: VirtualTime,
    waiting: Vec<QueuedRequest>,
}

/// Weighted fair queue over customers, charged by predicted engine time.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Customers by name; an idle one is removed once `virtual_clock` reaches its virtual time.
    customers: BTreeMap<CustomerName, CustomerQueue>,
    /// Largest virtual time at which a customer had a request dequeued.
    virtual_clock: VirtualTime,
    len: usize,
}

impl FairQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request to the queue of its customer.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let virtual_clock = self.virtual_clock;
        let queue = self.customers.entry(waiting.customer.clone()).or_default();
        if queue.waiting.is_empty() {
            // An idle customer earns no credit for the engine time it did not use.
            queue.virtual_time = queue.virtual_time.max(virtual_clock);
        }
        queue.waiting.push(waiting);
        self.len += 1;
    }

    /// Returns the request to place next, without removing it.
    #[must_use]
    pub fn peek(&self, now: Moment, aging_time: Duration) -> Option<&QueuedRequest> {
        self.next_by_customer(now, aging_time).into_iter().next()
    }

    /// Returns each customer's next request, in order of the customers' virtual time.
    #[must_use]
    pub fn next_by_customer(&self, now: Moment, aging_time: Duration) -> Vec<&QueuedRequest> {
        let mut heads: Vec<_> = self
            .customers
            .values()
            .filter_map(|queue| Some((queue.virtual_time, queue.head(now, aging_time)?)))
            .collect();
        heads.sort_by_key(|(virtual_time, head)| (*virtual_time, head.queued_at, head.request));
        heads.into_iter().map(|(_, head)| head).collect()
    }

    /// Removes a request that is being placed, and charges its work to its customer.
    pub fn dequeue(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let waiting = self.remove(request)?;
        let queue = self.customers.get_mut(&waiting.customer)?;
        self.virtual_clock = self.virtual_clock.max(queue.virtual_time);
        queue.virtual_time += virtual_cost(&waiting);
        self.remove_idle_customers();
        Some(waiting)
    }

    /// Removes a request that is not being placed, without a charge.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedRequest> {
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

    /// Returns the predicted engine time of all queued requests.
    #[must_use]
    pub fn total_work(&self) -> Duration {
        self.customers
            .values()
            .flat_map(|queue| &queue.waiting)
            .map(|waiting| waiting.work)
            .sum()
    }

    fn remove_idle_customers(&mut self) {
        let virtual_clock = self.virtual_clock;
        self.customers
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > virtual_clock);
    }
}

impl CustomerQueue {
    fn head(&self, now: Moment, aging_time: Duration) -> Option<&QueuedRequest> {
        self.waiting.iter().min_by_key(|waiting| {
            (
                aged_work(waiting, now, aging_time),
                waiting.queued_at,
                waiting.request,
            )
        })
    }
}

/// Returns the work divided by one plus the waiting time in units of `aging_time`.
///
/// After `aging_time` the work counts half, after twice that a third.
fn aged_work(waiting: &QueuedRequest, now: Moment, aging_time: Duration) -> Duration {
    let waited =
        now.since(waiting.queued_at).as_secs_f64() / aging_time.as_secs_f64().max(f64::EPSILON);
    waiting.work.div_f64(1.0 + waited)
}

fn virtual_cost(waiting: &QueuedRequest) -> VirtualTime {
    let micros = u64::try_from(waiting.work.as_micros()).unwrap_or(u64::MAX);
    micros.max(1) / u64::from(waiting.weight.max(1))
}
