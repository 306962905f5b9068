//! How a request ends, and the reasons that callers and counters see.

use std::time::Duration;

/// Whether a backend server may have run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Nothing was sent, or the backend server proved that it ran nothing.
    NotRun,
    /// A backend server may have run it.
    MayHaveRun,
    /// It ran to its end.
    Complete,
}

impl RunState {
    /// Returns the word that callers read in an answer.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Complete => "complete",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])+ $kind:ident { $($(#[$vdoc:meta])+ $variant:ident = $code:literal),+ $(,)? }) => {
        $(#[$doc])+
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $kind {
            $($(#[$vdoc])+ $variant,)+
        }

        impl $kind {
            /// Every reason, for counters that must exist before their first use.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// Returns the code that answers, logs and counters carry.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Finds the reason with this code.
            #[must_use]
            pub fn from_code(code: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.code() == code)
            }
        }
    };
}

reasons! {
    /// Why a request was refused or failed.
    RefusalReason {
        /// The body is not what the path takes.
        BadRequest = "bad_request",
        /// The body is larger than the settings allow.
        BodyTooLarge = "body_too_large",
        /// The caller sent its body too slowly.
        SlowBody = "slow_body",
        /// No customer has this token.
        UnknownCustomer = "unknown_customer",
        /// The customer may not use this service.
        ServiceNotAllowed = "service_not_allowed",
        /// The manifest has no such service.
        UnknownService = "unknown_service",
        /// No route of the manifest has this method and path.
        UnknownPath = "unknown_path",
        /// The prompt needs more memory than the fleet can give one request.
        PromptTooLong = "prompt_too_long",
        /// The customer has too many requests in progress.
        CustomerLimit = "customer_limit",
        /// The VM has too many requests in progress.
        VmLimit = "vm_limit",
        /// The queue of the service is full.
        QueueFull = "queue_full",
        /// The deadline cannot be met any more.
        DeadlineUnmeetable = "deadline_unmeetable",
        /// The deadline passed.
        DeadlinePassed = "deadline_passed",
        /// No backend server of the service is known.
        NoServer = "no_server",
        /// The VM has no manifest yet.
        NoManifest = "no_manifest",
        /// The VM is stopping.
        Stopping = "stopping",
        /// The request killed backend servers before.
        Quarantined = "quarantined",
        /// The control quorum cannot be reached, and the call needs it.
        NoQuorum = "no_quorum",
        /// The idempotency key belongs to a call with another body.
        KeyReused = "key_reused",
        /// The idempotency key is claimed and its outcome is not known.
        ClaimedElsewhere = "claimed_elsewhere",
        /// The table of claims is full.
        ClaimsFull = "claims_full",
        /// The backend server failed.
        ServerFailed = "server_failed",
        /// The backend server refused the work.
        ServerRefused = "server_refused",
        /// The retry budget of the service is spent.
        RetryBudgetSpent = "retry_budget_spent",
        /// The caller went away.
        CallerGone = "caller_gone",
    }
}

reasons! {
    /// Why a request was sent again.
    RetryReason {
        /// The connection was never made, so nothing was sent.
        ConnectFailed = "connect_failed",
        /// The backend server said that it did not run the request.
        ServerRefused = "server_refused",
        /// A stream broke and goes on elsewhere at the same token.
        StreamResumed = "stream_resumed",
        /// An idempotent call broke before its answer was whole.
        IdempotentBroken = "idempotent_broken",
        /// The dispatcher changed, and the request was asked for again.
        DispatcherChanged = "dispatcher_changed",
        /// A claim was sent again after no answer came.
        ClaimUnanswered = "claim_unanswered",
    }
}

/// The answer to a request that was not admitted or was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether a backend server may have run the request.
    pub run: RunState,
    /// When to come back; `None` where coming back is no use.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of a request of which nothing was sent.
    #[must_use]
    pub const fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            run: RunState::NotRun,
            retry_after,
        }
    }
}
