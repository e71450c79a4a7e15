//! One attempt of a client as a pure state machine: what may be sent where, and what it ends with.

use wire::Millis;
use wire::Reason;
use wire::Refusal;
use wire::Route;

/// Replicas that may turn one request away unrun before the client is told; each costs a round trip.
const MAX_UNRUN_SENDS: u32 = 6;

/// The part of the time that is left for which a request waits for a slot: clients honour a
/// `Retry-After` of up to a third of their time, and leave a silent attempt soon after that.
const SLOT_WAIT_PARTS: Millis = 3;

/// What one attempt of a client may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether a started answer may go on at another replica.
    pub is_resumable: bool,
    /// How many replicas may run the request.
    pub max_attempts: u32,
    /// When the client, or the operator's timeout, ends the wait.
    pub give_up_at_ms: Millis,
}

impl Policy {
    /// Returns the policy of a route for a request that arrived at `now_ms`.
    pub fn of(
        route: &Route,
        now_ms: Millis,
        deadline_ms: Option<Millis>,
        max_wait_ms: Millis,
    ) -> Self {
        let wait_ms = [deadline_ms, route.timeout_ms]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(max_wait_ms)
            .min(max_wait_ms);
        Self {
            is_repeatable: route.is_repeatable(),
            is_resumable: route.is_resumable,
            max_attempts: route.max_attempts.max(1),
            give_up_at_ms: now_ms + wait_ms,
        }
    }

    /// Returns until when a request that asks for a slot at `now_ms` waits for it.
    ///
    /// A client that is told in time that nothing was run can come back within its deadline.
    pub fn slot_by_ms(&self, now_ms: Millis) -> Millis {
        now_ms + self.give_up_at_ms.saturating_sub(now_ms) / SLOT_WAIT_PARTS
    }
}

/// Why a send to a replica brought no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The replica could not be reached, so it got nothing.
    Unreachable,
    /// The replica said that it is full, or not the one that was meant.
    TurnedAway,
    /// The replica may have run the request; no answer came.
    NoAnswer,
    /// The replica's answer cannot be understood or belongs to another request.
    Garbled,
    /// The time of the request was over before the answer came.
    TimedOut,
    /// A started answer broke off.
    BrokenOff,
    /// A started stream made no progress.
    Stalled,
    /// The replica answered that it failed.
    ServerError,
}

impl Failure {
    /// Returns the failure as it appears in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::TurnedAway => "turned_away",
            Self::NoAnswer => "no_answer",
            Self::Garbled => "garbled",
            Self::TimedOut => "timed_out",
            Self::BrokenOff => "broken_off",
            Self::Stalled => "stalled",
            Self::ServerError => "server_error",
        }
    }

    fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::TurnedAway)
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another replica.
    TryAnother,
    /// Answer with a refusal.
    Refuse(Refusal),
    /// Cut the client's connection, since its answer cannot be completed.
    Cut(Failure),
}

/// The course of one attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    policy: Policy,
    runs: u32,
    unrun_sends: u32,
    is_answering: bool,
}

impl Attempt {
    /// Starts an attempt.
    pub fn new(policy: Policy) -> Self {
        Self { policy, runs: 0, unrun_sends: 0, is_answering: false }
    }

    /// Returns the policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the replicas that may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Notes that the first bytes of an answer go to the client.
    pub fn answer_started(&mut self) {
        self.is_answering = true;
    }

    /// Returns whether the request may be sent once more after a replica answered it.
    pub fn may_run_again_after(&self, now_ms: Millis) -> bool {
        self.policy.is_repeatable
            && self.runs + 1 < self.policy.max_attempts
            && now_ms < self.policy.give_up_at_ms
    }

    /// Decides after a send that failed.
    pub fn failed(&mut self, now_ms: Millis, failure: Failure) -> Next {
        if failure.may_have_run() {
            self.runs += 1;
        } else {
            self.unrun_sends += 1;
        }
        if now_ms >= self.policy.give_up_at_ms {
            return self.ended(failure);
        }
        let may_run_again = self.runs == 0 || self.policy.is_repeatable;
        let may_go_on = !self.is_answering || self.policy.is_resumable;
        let has_tries = self.runs < self.policy.max_attempts && self.unrun_sends < MAX_UNRUN_SENDS;
        if may_run_again && may_go_on && has_tries {
            return Next::TryAnother;
        }
        self.ended(failure)
    }

    /// Decides when no replica can be had, or the time is over.
    pub fn gave_up(&mut self, reason: Reason, retry_after_ms: Option<Millis>) -> Next {
        if self.is_answering {
            return Next::Cut(Failure::Stalled);
        }
        if self.runs > 0 {
            return Next::Refuse(Refusal::unknown(
                if reason == Reason::Deadline { reason } else { Reason::BackendLost },
                "the request was sent and no answer came",
            ));
        }
        let mut refusal = Refusal::not_run(reason, "no replica could take the request in time");
        refusal.retry_after_ms = retry_after_ms;
        Next::Refuse(refusal)
    }

    fn ended(&self, failure: Failure) -> Next {
        if self.is_answering {
            return Next::Cut(failure);
        }
        if failure == Failure::TimedOut {
            let message = "the replica did not answer within the request's time";
            return Next::Refuse(Refusal::unknown(Reason::Deadline, message));
        }
        if self.runs > 0 {
            let message = "the replica was lost after the request was sent";
            return Next::Refuse(Refusal::unknown(Reason::BackendLost, message));
        }
        Next::Refuse(Refusal::not_run(Reason::NoBackend, "no replica took the request"))
    }
}
