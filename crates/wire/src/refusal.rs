//! Typed refusals: the reason, whether the request ran, and when to retry.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Millis;

/// Whether a backend server ran a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request certainly did not run.
    No,
    /// The request may have run, in part or in full.
    Unknown,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, for registering counters.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the reason as it appears in answers, logs and counters.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status that goes with the reason.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The request could not be parsed, or a field is out of range.
    BadRequest = "bad_request", 400;
    /// A body, a lot or an item is over its size limit.
    TooLarge = "too_large", 413;
    /// No valid token was sent.
    Unauthenticated = "unauthenticated", 401;
    /// The token does not allow this call.
    Forbidden = "forbidden", 403;
    /// The bundle in force has no such model or service.
    UnknownModel = "unknown_model", 404;
    /// The path, job or object does not exist.
    NotFound = "not_found", 404;
    /// The job key or idempotency key was used before with other content.
    KeyReused = "key_reused", 409;
    /// Another operator's change took effect first.
    Conflict = "conflict", 409;
    /// The organisation is over its request rate.
    RateLimit = "rate_limit", 429;
    /// The organisation has too many requests in flight.
    ConcurrencyLimit = "concurrency_limit", 429;
    /// The model's backend servers have no room for the request.
    Overload = "overload", 503;
    /// The deadline has passed, or cannot be met.
    Deadline = "deadline", 504;
    /// No backend server for the model is live.
    NoBackend = "no_backend", 503;
    /// The backend server refused the request itself.
    BackendRefused = "backend_refused", 422;
    /// The backend server was lost after the request was sent.
    BackendLost = "backend_lost", 502;
    /// The platform's object API did not answer.
    StoreUnavailable = "store_unavailable", 503;
    /// The daemon is stopping.
    Leaving = "leaving", 503;
    /// No signed bundle is in force yet.
    NoBundle = "no_bundle", 503;
    /// The bundle in force does not allow the request, but a newer one is on its way.
    OutdatedBundle = "outdated_bundle", 503;
    /// A request with the same key is running, or its outcome is unknown.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The bundle does not have enough valid signatures of trusted operators.
    Unsigned = "unsigned", 403;
    /// A part of the prompt is quarantined, since replicas crashed on it.
    Quarantined = "quarantined", 503;
    /// The daemon's memory for clients' data is used up.
    NoMemory = "no_memory", 503;
    /// The body arrived too slowly.
    SlowBody = "slow_body", 408;
}

/// A refusal as callers and operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// How long to wait before a retry; absent if a retry cannot succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<Millis>,
    /// A sentence that tells the caller what went wrong or what to do.
    pub message: String,
}

impl Refusal {
    /// Builds a refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { reason, ran: Ran::No, retry_after_ms: None, message: message.into() }
    }

    /// Builds a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { reason, ran: Ran::Unknown, retry_after_ms: None, message: message.into() }
    }

    /// Adds the time to wait before a retry.
    pub fn with_retry_after(mut self, wait_ms: Millis) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ran = match self.ran {
            Ran::No => "not run",
            Ran::Unknown => "may have run",
        };
        write!(f, "{} ({}, {ran})", self.message, self.reason.as_str())
    }
}
