//! Runs the cost model in scaled real time and sends tokens to the streams.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};

use super::model::{EngineModel, ModelRefusal, Sequence, SequenceKey};
use crate::http_server::KillFlag;

/// Interval at which an idle engine checks for expired leases and its end.
const IDLE_WAIT: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct State {
    model: EngineModel,
    /// Channels to the streams of the attempts, which carry token indexes.
    streams: BTreeMap<SequenceKey, Sender<u64>>,
    /// When each attempt was admitted or reserved.
    held_since: BTreeMap<SequenceKey, Instant>,
}

/// Handle of the running cost model; the condition variable wakes its idle thread.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Runner {
    pub(super) fn spawn(model: EngineModel, speed: f64, killed: KillFlag) -> io::Result<Self> {
        let state = State {
            model,
            streams: BTreeMap::new(),
            held_since: BTreeMap::new(),
        };
        let runner = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            start: Instant::now(),
        };
        let stepper = runner.clone();
        thread::Builder::new()
            .name("engine-steps".to_owned())
            .spawn(move || {
                while !killed.is_set() {
                    stepper.step(speed);
                }
                // Dropping the senders ends the streams, as the end of a process would.
                stepper.with_state(|state| state.streams.clear());
            })?;
        Ok(runner)
    }

    pub(super) fn with_model<T>(&self, access: impl FnOnce(&mut EngineModel) -> T) -> T {
        self.with_state(|state| access(&mut state.model))
    }

    /// Admits a request; the returned channel receives the indexes of its tokens.
    pub(super) fn admit(&self, sequence: Sequence) -> Result<Receiver<u64>, ModelRefusal> {
        let (sender, tokens) = unbounded();
        let key = sequence.key.clone();
        self.with_state(|state| {
            state.model.admit(sequence)?;
            state.held_since.insert(key.clone(), Instant::now());
            state.streams.insert(key, sender);
            Ok(())
        })?;
        self.state.1.notify_all();
        Ok(tokens)
    }

    pub(super) fn cancel(&self, request: &str, attempt: u32) {
        self.with_state(|state| {
            state.model.cancel(request, attempt);
            state
                .streams
                .retain(|key, _| key.request != request || key.attempt > attempt);
        });
    }

    pub(super) fn reserve(
        &self,
        key: SequenceKey,
        tokens: u64,
        lease: Duration,
    ) -> Result<(), ModelRefusal> {
        let expires = self.start.elapsed() + lease;
        self.with_state(|state| {
            state.model.reserve(key.clone(), tokens, expires)?;
            state.held_since.insert(key, Instant::now());
            Ok(())
        })
    }

    /// Returns all requests and reservations with their memory in tokens and their age.
    pub(super) fn holdings(&self) -> Vec<(SequenceKey, u64, Duration)> {
        self.with_state(|state| {
            let holdings = state.model.holdings();
            let keep: Vec<_> = holdings.iter().map(|(key, _)| key.clone()).collect();
            state.held_since.retain(|key, _| keep.contains(key));
            let age = |key: &SequenceKey| state.held_since.get(key).map(Instant::elapsed);
            holdings
                .into_iter()
                .map(|(key, tokens)| {
                    let age = age(&key).unwrap_or_default();
                    (key, tokens, age)
                })
                .collect()
        })
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs one step, and delivers its tokens after its duration divided by `speed`.
    fn step(&self, speed: f64) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.model.expire(self.start.elapsed());
        if state.model.is_idle() {
            let woken = self.state.1.wait_timeout(state, IDLE_WAIT);
            drop(woken.unwrap_or_else(PoisonError::into_inner));
            return;
        }
        let step = state.model.step();
        drop(state);
        thread::sleep(step.time.div_f64(speed));
        self.with_state(|state| {
            for (key, token) in step.tokens {
                let gone = state
                    .streams
                    .get(&key)
                    .is_some_and(|s| s.send(token).is_err());
                if gone {
                    state.streams.remove(&key);
                }
            }
            for key in step.finished {
                state.streams.remove(&key);
            }
        });
    }
}
