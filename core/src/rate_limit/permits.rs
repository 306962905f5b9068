//! Permits of one VM to send requests to servers with limits.

use std::collections::BTreeMap;
use std::time::Duration;

use super::bucket::Turn;
use crate::names::ServerId;
use crate::time::Moment;

/// Time from its turn for which a permit may be used.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Longest wait for a coordinator's answer.
///
/// A later answer does not count, as it may have been granted before its coordinator was frozen.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Wait after a coordinator has not answered.
const UNANSWERED_WAIT: Duration = Duration::from_millis(400);

/// What this VM knows of its next permit for one server.
#[derive(Clone, Copy, Debug)]
enum Permit {
    /// The coordinator was asked at this time.
    Asked(Moment),
    /// One request may be sent from this time on, for `PERMIT_LIFETIME`.
    From(Moment),
    /// None is expected before this time.
    RefusedUntil(Moment),
}

/// Next permits by server; a server without an entry was not asked for, or its permit is spent.
#[derive(Debug, Default)]
pub(super) struct PermitTable {
    servers: BTreeMap<ServerId, Permit>,
}

impl PermitTable {
    /// Whether a request may be sent at `now`.
    pub(super) fn is_ready(&self, now: Moment, server: &ServerId) -> bool {
        let permit = self.servers.get(server);
        matches!(permit, Some(Permit::From(turn)) if *turn <= now && now < *turn + PERMIT_LIFETIME)
    }

    /// Whether the coordinator should be asked.
    pub(super) fn may_ask(&self, now: Moment, server: &ServerId) -> bool {
        match self.servers.get(server) {
            None => true,
            Some(Permit::Asked(at)) => now.since(*at) >= ANSWER_TIMEOUT + UNANSWERED_WAIT,
            Some(Permit::From(turn)) => now >= *turn + PERMIT_LIFETIME,
            Some(Permit::RefusedUntil(until)) => now >= *until,
        }
    }

    pub(super) fn asked(&mut self, now: Moment, server: &ServerId) {
        self.servers.insert(server.clone(), Permit::Asked(now));
    }

    /// Records a coordinator's answer, unless it came too late.
    pub(super) fn answered(&mut self, now: Moment, server: &ServerId, turn: Turn) {
        let Some(permit) = self.servers.get_mut(server) else {
            return;
        };
        if !matches!(permit, Permit::Asked(at) if now.since(*at) < ANSWER_TIMEOUT) {
            return;
        }
        *permit = match turn {
            Turn::GrantedAfter(wait) => Permit::From(now + wait),
            Turn::RefusedFor(wait) => Permit::RefusedUntil(now + wait),
        };
    }

    /// Takes the permit.
    pub(super) fn spend(&mut self, now: Moment, server: &ServerId) {
        if self.is_ready(now, server) {
            self.servers.remove(server);
        }
    }

    /// Whether a permit is held, promised or asked for.
    pub(super) fn is_promised(&self, now: Moment, server: &ServerId) -> bool {
        match self.servers.get(server) {
            Some(Permit::Asked(at)) => now.since(*at) < ANSWER_TIMEOUT,
            Some(Permit::From(turn)) => now < *turn + PERMIT_LIFETIME,
            _ => false,
        }
    }

    pub(super) fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }
}
