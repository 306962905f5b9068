//! The timer service: parts subscribe to ticks and get them on a channel.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded, unbounded};

/// Time in which a new subscription takes effect while others are due later.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Handle of the running timer service.
#[derive(Clone, Debug)]
pub struct Timer {
    subscribe: Sender<Subscription>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    due: Instant,
    ticks: Sender<Instant>,
}

impl Timer {
    /// Starts the service's thread; it ends with its last handle.
    ///
    /// # Panics
    /// Panics where no thread can be started.
    #[must_use]
    pub fn spawn() -> Self {
        let (subscribe, subscriptions) = unbounded();
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(&subscriptions))
            .expect("a process that cannot start its first threads cannot run");
        Self { subscribe }
    }

    /// Subscribes to a tick every `period`; a tick that was not taken is not repeated.
    #[must_use]
    pub fn every(&self, period: Duration) -> Receiver<Instant> {
        let (ticks, receiver) = bounded(1);
        let due = Instant::now() + period;
        // The service lives as long as any handle, so the subscription always arrives.
        drop(self.subscribe.send(Subscription { period, due, ticks }));
        receiver
    }
}

fn run(subscriptions: &Receiver<Subscription>) {
    let mut active: Vec<Subscription> = Vec::new();
    loop {
        let now = Instant::now();
        let next = active.iter().map(|subscription| subscription.due).min();
        let sleep = next.map_or(LONGEST_SLEEP, |due| due.saturating_duration_since(now));
        match subscriptions.recv_timeout(sleep.min(LONGEST_SLEEP)) {
            Ok(subscription) => active.push(subscription),
            Err(error) if error.is_disconnected() => return,
            Err(_) => {}
        }
        let now = Instant::now();
        active.retain_mut(|subscription| subscription.due > now || tick(subscription, now));
    }
}

/// Sends a tick; returns false where the subscriber is gone.
fn tick(subscription: &mut Subscription, now: Instant) -> bool {
    subscription.due = now + subscription.period;
    !matches!(
        subscription.ticks.try_send(now),
        Err(TrySendError::Disconnected(_))
    )
}
