//! Early refusal of online requests that cannot be on time at a replica.
//!
//! The load that it answers: the demand exceeds the slots of a service for some seconds. A request
//! that waits until it is late is worth little to its client; one that is refused at once can return
//! and be on time. Which requests of a lasting overload can be on time is a matter of capacity alone,
//! so the gain is made after its end: the slots that are free then serve returning requests on time
//! instead of waiting ones late. Slots that become free earlier serve the requests that were kept.

use std::fmt;

use wire::Millis;

use crate::message::Class;
use crate::table::QUEUES_PER_REQUEST;

/// The part of the longest wait after which refused requests return, in percent, from and to. Slots that
/// are free earlier are needed by requests that arrive meanwhile. The end leaves room for the delay of the
/// refusal, since clients honour no longer wait.
const RETURN_PERCENT: (Millis, Millis) = (75, 95);
/// The steps in which refused requests spread over that range, and the stride between two refusals. The
/// stride has no common divisor with the steps, so that all are used before one repeats.
const SPREAD_STEPS: Millis = 89;
const SPREAD_STRIDE: Millis = 55;
/// A request that may wait for less than this part of the longest wait has returned, in percent; it is not
/// refused again.
const FIRST_ATTEMPT_PERCENT: Millis = 95;
/// The part of its wait that the holder of a request that may have run states, in percent. It is less than
/// `FIRST_ATTEMPT_PERCENT`.
const RETRY_PERCENT: Millis = 90;
/// How long the longest wait is remembered without a request that may wait for as long.
const LONGEST_WAIT_TTL_MS: Millis = 10_000;
/// Longer waits count as this one. Waits come from other daemons: a larger one would overflow, and the number of
/// remembered refusals grows with it.
const MAX_WAIT_MS: Millis = 60_000;
/// The least time between two reports of one replica.
const REPORT_EVERY_MS: Millis = 1_000;

/// When the slots of a replica are expected to be free, and the requests that get them first.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    /// How long until each slot is expected to be free.
    pub free_in_ms: Vec<Millis>,
    /// The number of online requests that get a slot before this one.
    pub ahead: usize,
    /// The usual duration of an online run, or 0 if it is not known.
    pub usual_ms: Millis,
}

impl Outlook {
    /// Returns how long until a slot is expected for the request, or nothing if that is not known.
    ///
    /// Each request ahead waits in two queues and is served by another replica as often as here.
    pub fn slot_in_ms(&self) -> Option<Millis> {
        if self.free_in_ms.is_empty() || self.usual_ms == 0 {
            return None;
        }
        let mut free_in_ms = self.free_in_ms.clone();
        free_in_ms.sort_unstable();
        let ahead = self.ahead / QUEUES_PER_REQUEST as usize;
        let rounds = (ahead / free_in_ms.len()) as Millis;
        Some(free_in_ms[ahead % free_in_ms.len()] + rounds * self.usual_ms)
    }
}

/// A request that is not granted a slot at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// How long the request can wait and still be on time.
    pub on_time_left_ms: Millis,
    /// How long the request may stay queued; its client honours no longer wait after a refusal.
    pub give_up_left_ms: Millis,
}

/// The early refusals of one replica since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalReport {
    /// Requests that were refused early.
    pub refused: u64,
    /// Requests that will be late and were kept, since no more can be served when they return.
    pub kept: u64,
}

impl fmt::Display for RefusalReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "refused={} kept={}", self.refused, self.kept)
    }
}

/// The refused requests of one replica that have not returned yet.
#[derive(Clone, Debug, Default)]
pub struct EarlyRefusals {
    due_at_ms: Vec<Millis>,
    position: Millis,
    longest_wait_ms: Millis,
    longest_wait_at_ms: Millis,
    unreported: RefusalReport,
    reported_at_ms: Option<Millis>,
}

impl EarlyRefusals {
    /// Decides whether a request is refused; if so, returns the time after which it is to return.
    ///
    /// A request is kept if it can be on time, if it is late already, if it was refused before, or if
    /// those that are to return fill the slots for the longest wait.
    pub fn decide(
        &mut self,
        now_ms: Millis,
        outlook: &Outlook,
        candidate: Candidate,
    ) -> Option<Millis> {
        let on_time_left_ms = candidate.on_time_left_ms;
        let give_up_left_ms = candidate.give_up_left_ms.min(MAX_WAIT_MS);
        // A request with less time than others was refused before.
        let is_first_attempt =
            give_up_left_ms * 100 >= self.longest_wait_ms * FIRST_ATTEMPT_PERCENT;
        let slot_in_ms = outlook.slot_in_ms()?;
        if slot_in_ms <= on_time_left_ms || on_time_left_ms == 0 {
            return None;
        }
        let return_in_ms = self.return_in_ms(slot_in_ms, give_up_left_ms);
        self.due_at_ms.retain(|due_at_ms| *due_at_ms > now_ms);
        let is_booked_out = self.due_at_ms.len() as Millis >= bound(outlook, give_up_left_ms);
        if !is_first_attempt || is_booked_out || return_in_ms > give_up_left_ms {
            self.unreported.kept += u64::from(is_first_attempt);
            return None;
        }
        self.unreported.refused += 1;
        self.position = (self.position + SPREAD_STRIDE) % SPREAD_STEPS;
        self.due_at_ms.push(now_ms + return_in_ms);
        Some(return_in_ms)
    }

    /// Returns the decisions since the last report, at most once in a while.
    pub fn take_report(&mut self, now_ms: Millis) -> Option<RefusalReport> {
        let is_due = self.reported_at_ms.is_none_or(|at_ms| now_ms >= at_ms + REPORT_EVERY_MS);
        if !is_due || self.unreported == RefusalReport::default() {
            return None;
        }
        self.reported_at_ms = Some(now_ms);
        Some(std::mem::take(&mut self.unreported))
    }

    /// Records how long a new online request may stay queued, whether it is granted at once or not.
    pub fn record_wait(&mut self, now_ms: Millis, give_up_left_ms: Millis) {
        let give_up_left_ms = give_up_left_ms.min(MAX_WAIT_MS);
        let is_forgotten = now_ms >= self.longest_wait_at_ms + LONGEST_WAIT_TTL_MS;
        if give_up_left_ms >= self.longest_wait_ms || is_forgotten {
            self.longest_wait_ms = give_up_left_ms;
            self.longest_wait_at_ms = now_ms;
        }
    }

    /// Returns when the next refused request is to return: not before a slot is expected, and spread.
    fn return_in_ms(&self, slot_in_ms: Millis, give_up_left_ms: Millis) -> Millis {
        let from_ms = (give_up_left_ms * RETURN_PERCENT.0 / 100).max(slot_in_ms);
        let to_ms = give_up_left_ms * RETURN_PERCENT.1 / 100;
        from_ms + to_ms.saturating_sub(from_ms) * self.position / SPREAD_STEPS
    }
}

/// Returns the wait that a holder states for a request; `waits_for_replica` is that of the slot request.
///
/// It is shorter for an online request that may have run. Owners take it for a request that returned and
/// keep it: its client could not send it again after a refusal.
pub fn stated_wait_ms(class: Class, waits_for_replica: bool, give_up_left_ms: Millis) -> Millis {
    if class != Class::Online || !waits_for_replica {
        return give_up_left_ms;
    }
    give_up_left_ms.saturating_mul(RETRY_PERCENT) / 100
}

/// Returns the most refused requests that may be on their way: what the slots can serve within the
/// longest wait, counted twice. Up to three owners count a request, so that some more are kept.
fn bound(outlook: &Outlook, give_up_left_ms: Millis) -> Millis {
    let slots = outlook.free_in_ms.len() as Millis;
    QUEUES_PER_REQUEST * slots * give_up_left_ms / outlook.usual_ms.max(1)
}
