//! A token bucket that takes unused tokens back without exceeding its limit.

use std::collections::VecDeque;

use wire::Millis;

use crate::allowance::Limit;

/// The most lows of the room that are remembered; tokens from before them are not taken back.
const MAX_LOWS: usize = 64;

/// The token bucket of one organisation at the owner.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    level: f64,
    refilled_ms: Millis,
    /// The number of takes.
    takes: u64,
    /// The number of the first take whose tokens may still be taken back.
    first_take: u64,
    /// The least room in the bucket after each take, with the number of the take; only entries that
    /// are lower than all later ones are kept, so that the room rises.
    lows: VecDeque<(u64, f64)>,
}

impl Bucket {
    /// Creates a bucket with `level` tokens.
    pub fn new(now_ms: Millis, limit: Limit, level: f64) -> Self {
        let level = level.clamp(0.0, limit.capacity());
        let lows = VecDeque::new();
        let mut bucket = Self { limit, level, refilled_ms: now_ms, takes: 0, first_take: 1, lows };
        bucket.refill(now_ms);
        bucket
    }

    /// Replaces the limit; a lower one cuts the level at once.
    pub fn set_limit(&mut self, now_ms: Millis, limit: Limit) {
        if self.limit == limit {
            return;
        }
        self.refill(now_ms);
        self.limit = limit;
        self.level = self.level.min(limit.capacity());
        self.lows.clear();
        self.first_take = self.takes + 1;
    }

    /// Adds tokens beside the refill.
    pub fn raise(&mut self, now_ms: Millis, tokens: f64) {
        self.refill(now_ms);
        self.level = (self.level + tokens).min(self.limit.capacity());
        self.record_room();
    }

    /// Takes up to `count` tokens and returns how many were taken.
    pub fn take(&mut self, now_ms: Millis, count: u32) -> u32 {
        self.refill(now_ms);
        let taken = count.min(self.level as u32);
        if taken > 0 {
            self.level -= f64::from(taken);
            self.takes += 1;
            self.record_room();
        }
        taken
    }

    /// Returns the number of the last take, with which its tokens can be given back.
    pub fn last_take(&self) -> u64 {
        self.takes
    }

    /// Takes back tokens of a take that were not spent, and returns how many fit.
    ///
    /// Tokens are taken back only as far as the bucket would not have overflowed since then if they
    /// had never been taken; otherwise the bucket would let more through than its limit.
    pub fn give_back(&mut self, now_ms: Millis, take: u64, count: u32) -> u32 {
        self.refill(now_ms);
        if take < self.first_take || take > self.takes {
            return 0;
        }
        let low = self.lows.iter().find(|(at, _)| *at >= take).map_or(0.0, |(_, room)| *room);
        let returned = count.min(low.max(0.0) as u32);
        self.level += f64::from(returned);
        for (_, room) in self.lows.iter_mut().filter(|(at, _)| *at >= take) {
            *room -= f64::from(returned);
        }
        let mut least = f64::INFINITY;
        let mut kept = VecDeque::new();
        for (at, room) in self.lows.drain(..).rev() {
            if room < least {
                least = room;
                kept.push_front((at, room));
            }
        }
        self.lows = kept;
        returned
    }

    /// Returns the level after the refill that is due.
    pub fn level(&mut self, now_ms: Millis) -> f64 {
        self.refill(now_ms);
        self.level
    }

    /// Returns the time until a token is available, in milliseconds.
    pub fn wait_ms(&mut self, now_ms: Millis) -> Millis {
        self.refill(now_ms);
        let missing = (1.0 - self.level).max(0.0);
        (missing / self.limit.rate_per_s * 1_000.0).ceil() as Millis
    }

    fn refill(&mut self, now_ms: Millis) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let refill = self.limit.rate_per_s * elapsed_ms as f64 / 1_000.0;
        self.level = (self.level + refill).min(self.limit.capacity());
        self.record_room();
    }

    fn record_room(&mut self) {
        let room = self.limit.capacity() - self.level;
        while self.lows.back().is_some_and(|(_, least)| *least >= room) {
            self.lows.pop_back();
        }
        self.lows.push_back((self.takes, room));
        if self.lows.len() > MAX_LOWS
            && let Some((take, _)) = self.lows.pop_front()
        {
            self.first_take = self.first_take.max(take + 1);
        }
    }
}
