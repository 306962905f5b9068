//! Timer service that sends periodic ticks on channels, from one thread.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded, unbounded};

/// Longest wait for a new subscription before due ticks are checked.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Handle of the running timer service.
#[derive(Clone, Debug)]
pub struct Timer {
    subscriptions: Sender<Subscription>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    next_tick: Instant,
    ticks: Sender<Instant>,
}

impl Timer {
    /// Spawns the timer thread, which ends once every handle is dropped.
    ///
    /// # Panics
    /// Panics if the thread cannot be spawned.
    #[must_use]
    pub fn spawn() -> Self {
        let (subscriptions, receiver) = unbounded();
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(&receiver))
            .expect("the process cannot run without its timer thread");
        Self { subscriptions }
    }

    /// Subscribes to a tick every `period`.
    ///
    /// A tick is skipped while the previous one has not been received.
    #[must_use]
    pub fn every(&self, period: Duration) -> Receiver<Instant> {
        let (ticks, receiver) = bounded(1);
        let next_tick = Instant::now() + period;
        // The timer thread lives as long as any handle, so sending cannot fail.
        drop(self.subscriptions.send(Subscription {
            period,
            next_tick,
            ticks,
        }));
        receiver
    }
}

fn run(subscriptions: &Receiver<Subscription>) {
    let mut active: Vec<Subscription> = Vec::new();
    loop {
        let now = Instant::now();
        let next = active
            .iter()
            .map(|subscription| subscription.next_tick)
            .min();
        let wait = next.map_or(MAX_WAIT, |due| due.saturating_duration_since(now));
        match subscriptions.recv_timeout(wait.min(MAX_WAIT)) {
            Ok(subscription) => active.push(subscription),
            Err(error) if error.is_disconnected() => return,
            Err(_) => {}
        }
        let now = Instant::now();
        active.retain_mut(|subscription| {
            subscription.next_tick > now || send_tick(subscription, now)
        });
    }
}

/// Sends a tick and schedules the next; returns false if the receiver was dropped.
fn send_tick(subscription: &mut Subscription, now: Instant) -> bool {
    subscription.next_tick = now + subscription.period;
    !matches!(
        subscription.ticks.try_send(now),
        Err(TrySendError::Disconnected(_))
    )
}
