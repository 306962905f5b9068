//! Contents that ran to completion a short time ago, which speaks against blaming them for a crash.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time::Moment;
use crate::units::ContentDigest;

/// Time for which a completion speaks for a content.
const COMPLETION_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of contents kept; beyond it the oldest completions are dropped.
const MAX_COMPLETIONS: usize = 20_000;

/// Latest completion of each content that this VM saw.
#[derive(Debug, Default)]
pub struct RecentCompletions {
    latest: BTreeMap<ContentDigest, Moment>,
    /// All completions in order of time, some of them no longer the latest of their content.
    in_order: VecDeque<(Moment, ContentDigest)>,
}

impl RecentCompletions {
    /// Records that a server ran a content to its end.
    pub fn record(&mut self, now: Moment, content: ContentDigest) {
        self.latest.insert(content, now);
        self.in_order.push_back((now, content));
        while let Some((at, content)) = self.in_order.front().copied() {
            let expired = now.since(at) >= COMPLETION_LIFETIME;
            if !expired && self.in_order.len() <= MAX_COMPLETIONS {
                break;
            }
            self.in_order.pop_front();
            if self.latest.get(&content) == Some(&at) {
                self.latest.remove(&content);
            }
        }
    }

    /// Whether a content completed after `moment`, or shortly before it.
    #[must_use]
    pub fn speaks_for(&self, content: &ContentDigest, moment: Moment) -> bool {
        let latest = self.latest.get(content);
        latest.is_some_and(|at| moment.since(*at) < COMPLETION_LIFETIME)
    }
}
