//! Refusals, run states, and the reason codes that answers, logs and metrics carry.

use std::time::Duration;

/// Whether a backend server may have run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Nothing was sent, or the backend server confirmed that it ran nothing.
    NotRun,
    /// A backend server may have run it.
    MayHaveRun,
    /// A backend server ran it to completion.
    Complete,
}

impl RunState {
    /// Returns the value that answers to callers carry.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Complete => "complete",
        }
    }
}

macro_rules! reason_codes {
    ($(#[$doc:meta])+ $name:ident { $($(#[$vdoc:meta])+ $variant:ident = $code:literal),+ $(,)? }) => {
        $(#[$doc])+
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$vdoc])+ $variant,)+
        }

        impl $name {
            /// All reasons in order of declaration, to create their counters up front.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// Returns the code of the reason in answers, logs and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the reason with this code, or `None` if there is none.
            #[must_use]
            pub fn from_code(code: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.code() == code)
            }
        }
    };
}

reason_codes! {
    /// Why a request was refused or failed.
    RefusalReason {
        /// The body is not valid for this path.
        BadRequest = "bad_request",
        /// The body exceeds the size limit of the settings.
        BodyTooLarge = "body_too_large",
        /// The caller sent its body too slowly.
        SlowBody = "slow_body",
        /// The token belongs to no customer.
        UnknownCustomer = "unknown_customer",
        /// The customer may not use this service.
        ServiceNotAllowed = "service_not_allowed",
        /// The manifest has no such service.
        UnknownService = "unknown_service",
        /// No route of the manifest matches the method and path.
        UnknownPath = "unknown_path",
        /// The prompt needs more engine memory than one request can get.
        PromptTooLong = "prompt_too_long",
        /// The customer has too many requests in progress.
        CustomerLimit = "customer_limit",
        /// The VM has too many requests in progress.
        VmLimit = "vm_limit",
        /// The queue of the service is full.
        QueueFull = "queue_full",
        /// The request cannot be completed before its deadline.
        DeadlineUnmeetable = "deadline_unmeetable",
        /// The deadline passed before the request was completed.
        DeadlinePassed = "deadline_passed",
        /// No backend server of the service is known.
        NoServer = "no_server",
        /// Neither this VM nor another one reaches a backend server of the service.
        NoPath = "no_path",
        /// The VM has no manifest yet.
        NoManifest = "no_manifest",
        /// The VM is shutting down.
        Stopping = "stopping",
        /// The content of the request crashed backend servers before.
        Quarantined = "quarantined",
        /// The control quorum cannot be reached, and the call needs it.
        NoQuorum = "no_quorum",
        /// The idempotency key belongs to a call with another body.
        KeyReused = "key_reused",
        /// Another request holds the idempotency key, and its outcome is not known.
        ClaimedElsewhere = "claimed_elsewhere",
        /// The table of idempotency claims is full.
        ClaimsFull = "claims_full",
        /// The backend servers take no more requests a second.
        RateLimited = "rate_limited",
        /// All backend servers of the service want no requests for a time which they named.
        HeldBack = "held_back",
        /// The backend server failed.
        ServerFailed = "server_failed",
        /// The backend server refused the request.
        ServerRefused = "server_refused",
        /// The retry budget of the service is spent.
        RetryBudgetSpent = "retry_budget_spent",
        /// The caller disconnected.
        CallerGone = "caller_gone",
    }
}

reason_codes! {
    /// Why a request was sent again.
    RetryReason {
        /// The connection could not be opened, so nothing was sent.
        ConnectFailed = "connect_failed",
        /// The backend server said that it did not run the request.
        ServerRefused = "server_refused",
        /// A stream broke off and resumes on another server at the same token.
        StreamResumed = "stream_resumed",
        /// An idempotent call broke off before its whole answer arrived.
        IdempotentBroken = "idempotent_broken",
        /// A server was silent, and a hedge was sent to another one.
        ServerSilent = "server_silent",
        /// Another VM became the dispatcher, and the request was submitted again.
        DispatcherChanged = "dispatcher_changed",
        /// An idempotency claim was sent again because no answer arrived.
        ClaimUnanswered = "claim_unanswered",
    }
}

/// Answer to a request that was not admitted or was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason code.
    pub reason: RefusalReason,
    /// Whether a backend server may have run the request.
    pub run: RunState,
    /// Delay before a retry makes sense; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that was not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            run: RunState::NotRun,
            retry_after,
        }
    }
}
