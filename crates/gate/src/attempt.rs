//! A pure state machine for one attempt of a client: decides whether the request is retried at
//! another replica, refused or aborted.

use wire::Millis;
use wire::Reason;
use wire::Refusal;
use wire::Route;

/// The client is refused after this many sends of its request that no replica has run; each costs a
/// round trip.
const MAX_NOT_RUN_SENDS: u32 = 6;

/// The wait for a slot is the remaining time divided by this: clients honour a `Retry-After` of up
/// to a third of their time, and abandon an attempt that got no answer soon after that.
const SLOT_WAIT_DIVISOR: Millis = 3;

/// The shortest `Retry-After` of a refusal without a slot.
pub const MIN_RETRY_AFTER_MS: Millis = 50;
/// The `Retry-After` of a refusal without an expected time is the remaining time divided by this.
const BLIND_RETRY_DIVISOR: Millis = 6;
/// How much of its remaining time a client has lost at most when it gets a refusal, so that it still
/// honours the longest `Retry-After`.
const REFUSAL_DELAY_MS: Millis = 60;

/// Returns the `Retry-After` of a refusal without a slot, `slot_in_ms` being when one is expected.
///
/// The owner has spread the times of the requests that it refused. Clients honour no wait of more than
/// a third of their remaining time.
pub fn retry_after_ms(remaining_ms: Millis, slot_in_ms: Option<Millis>) -> Millis {
    let longest_ms = remaining_ms.saturating_sub(REFUSAL_DELAY_MS) / SLOT_WAIT_DIVISOR;
    let wait_ms = match slot_in_ms {
        Some(slot_in_ms) => slot_in_ms.min(longest_ms),
        None => remaining_ms / BLIND_RETRY_DIVISOR,
    };
    wait_ms.max(MIN_RETRY_AFTER_MS)
}

/// The limits on retries of one attempt of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether a started answer may be resumed at another replica.
    pub is_resumable: bool,
    /// The most replicas that may run the request.
    pub max_runs: u32,
    /// When the client's deadline or the route's timeout ends the attempt.
    pub give_up_at_ms: Millis,
}

impl RetryPolicy {
    /// Returns the policy of a route for a request that arrived at `now_ms`.
    ///
    /// `max_wait_ms` bounds the request's deadline and the route's timeout, and applies alone when
    /// there is neither.
    pub fn for_route(
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
            max_runs: route.max_attempts.max(1),
            give_up_at_ms: now_ms + wait_ms,
        }
    }

    /// Returns until when a request that asks for a slot at `now_ms` waits for it.
    ///
    /// A client that learns early that its request was not run can retry within its deadline.
    pub fn slot_deadline_ms(&self, now_ms: Millis) -> Millis {
        now_ms + self.give_up_at_ms.saturating_sub(now_ms) / SLOT_WAIT_DIVISOR
    }
}

/// Why a send to a replica gave no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The replica could not be reached, so it received nothing.
    Unreachable,
    /// The replica leaves or is gone, so nothing was sent to it.
    ReplicaLeaving,
    /// The replica stated that it did not run the request: it is full or not the addressed
    /// incarnation.
    TurnedAway,
    /// No answer came; the replica may have run the request.
    NoAnswer,
    /// The replica's answer is malformed or belongs to another request.
    Garbled,
    /// The request's time was over before the answer came.
    TimedOut,
    /// The connection was lost after the answer had started.
    BrokenOff,
    /// A started answer made no progress in time.
    Stalled,
    /// The replica answered with a server error.
    ServerError,
    /// This daemon has no memory left for the answer, which is no fault of the replica.
    NoMemory,
}

impl SendFailure {
    /// Returns the name of the failure in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::ReplicaLeaving => "replica_leaving",
            Self::TurnedAway => "turned_away",
            Self::NoAnswer => "no_answer",
            Self::Garbled => "garbled",
            Self::TimedOut => "timed_out",
            Self::BrokenOff => "broken_off",
            Self::Stalled => "stalled",
            Self::ServerError => "server_error",
            Self::NoMemory => "no_memory",
        }
    }

    /// Returns whether a replica may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Unreachable | Self::ReplicaLeaving | Self::TurnedAway)
    }
}

/// The next step of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send the request to another replica.
    TryAnother,
    /// Answer the client with a refusal.
    Refuse(Refusal),
    /// Abort the client's connection, since the started answer cannot be completed.
    Abort(SendFailure),
}

/// What an attempt does while the replica that runs it is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAction {
    /// Look for another replica while the silent run goes on.
    SearchReplica,
    /// Wait for the silent run until the attempt's time is over.
    KeepWaiting,
}

/// The state of one attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    policy: RetryPolicy,
    runs: u32,
    not_run_sends: u32,
    has_answer_started: bool,
}

impl Attempt {
    /// Starts an attempt.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, runs: 0, not_run_sends: 0, has_answer_started: false }
    }

    /// Returns the retry policy of the attempt.
    pub fn policy(&self) -> &RetryPolicy {
        &self.policy
    }

    /// Returns how many replicas may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns whether a replica may have run the request or its answer has started.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0 || self.has_answer_started
    }

    /// Returns whether the client has received the first bytes of an answer.
    pub fn has_answer_started(&self) -> bool {
        self.has_answer_started
    }

    /// Records that the client receives the first bytes of an answer.
    pub fn record_answer_start(&mut self) {
        self.has_answer_started = true;
    }

    /// Returns whether the request may be sent again although a replica has answered it.
    pub fn can_run_again(&self, now_ms: Millis) -> bool {
        self.policy.is_repeatable
            && self.runs + 1 < self.policy.max_runs
            && now_ms < self.policy.give_up_at_ms
    }

    /// Decides what to do while the current run is silent; silence alone never ends a run.
    pub fn next_on_silence(&self, now_ms: Millis) -> SilenceAction {
        let can_continue = !self.has_answer_started || self.policy.is_resumable;
        // The current run and the one that may replace it.
        let has_run_left = self.runs + 2 <= self.policy.max_runs;
        if self.policy.is_repeatable
            && can_continue
            && has_run_left
            && now_ms < self.policy.give_up_at_ms
        {
            return SilenceAction::SearchReplica;
        }
        SilenceAction::KeepWaiting
    }

    /// Records that one of two runs has ended while the other one goes on.
    ///
    /// A send that was not run does not count: the pause between searches bounds their number.
    pub fn record_ended_run(&mut self, failure: SendFailure) {
        self.runs += u32::from(failure.may_have_run());
    }

    /// Records a failed send and decides the next step.
    pub fn record_failure(&mut self, now_ms: Millis, failure: SendFailure) -> NextAction {
        if failure.may_have_run() {
            self.runs += 1;
        } else if failure != SendFailure::ReplicaLeaving {
            self.not_run_sends += 1;
        }
        if now_ms >= self.policy.give_up_at_ms {
            return self.final_action(failure);
        }
        let can_run_again = self.runs == 0 || self.policy.is_repeatable;
        let can_continue = !self.has_answer_started || self.policy.is_resumable;
        let has_sends_left =
            self.runs < self.policy.max_runs && self.not_run_sends < MAX_NOT_RUN_SENDS;
        if can_run_again && can_continue && has_sends_left {
            return NextAction::TryAnother;
        }
        self.final_action(failure)
    }

    /// Ends the attempt because no replica is available or its time is over.
    pub fn give_up(&mut self, reason: Reason, retry_after_ms: Option<Millis>) -> NextAction {
        if self.has_answer_started {
            return NextAction::Abort(SendFailure::Stalled);
        }
        if self.runs > 0 {
            return NextAction::Refuse(Refusal::may_have_run(
                if reason == Reason::Deadline { reason } else { Reason::BackendLost },
                "the request was sent and no answer came",
            ));
        }
        let message = match reason {
            Reason::Quarantined => {
                "the request or a part of its prompt crashed replicas and is quarantined"
            }
            _ => "no replica could take the request in time",
        };
        let mut refusal = Refusal::not_run(reason, message);
        refusal.retry_after_ms = retry_after_ms;
        NextAction::Refuse(refusal)
    }

    fn final_action(&self, failure: SendFailure) -> NextAction {
        if self.has_answer_started {
            return NextAction::Abort(failure);
        }
        if failure == SendFailure::TimedOut {
            let message = "the replica did not answer within the request's time";
            return NextAction::Refuse(Refusal::may_have_run(Reason::Deadline, message));
        }
        if self.runs > 0 {
            let message = "the replica was lost after the request was sent";
            return NextAction::Refuse(Refusal::may_have_run(Reason::BackendLost, message));
        }
        NextAction::Refuse(Refusal::not_run(Reason::NoBackend, "no replica took the request"))
    }
}
