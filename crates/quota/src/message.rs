//! The messages between daemons about quotas.

use serde::Deserialize;
use serde::Serialize;
use wire::rendezvous;

/// The hash of an organisation's name, by which messages name it.
pub type OrgHash = u64;

/// The number of groups of organisations, each of which has one owner. Each daemon sends each owner
/// a vote per period, so that the number bounds the cost.
pub const GROUPS: u8 = 8;

/// Returns the group of an organisation.
pub fn group_of(org: OrgHash) -> u8 {
    (org % u64::from(GROUPS)) as u8
}

/// Returns the hash of an organisation's name.
pub fn hash_of(name: &str) -> OrgHash {
    rendezvous::hash(name.as_bytes())
}

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender votes for the receiver as the owner of groups.
    Vote {
        /// The groups, as a bit set.
        groups: u8,
        /// How long the vote is valid, in milliseconds.
        valid_ms: u32,
    },
    /// The sender has stopped granting credit of these groups.
    Release {
        /// The groups, as a bit set.
        groups: u8,
    },
    /// The levels of the buckets of a group, for its next owner.
    HandOver {
        /// The group.
        group: u8,
        /// The term that has ended.
        term: u64,
        /// The tokens of each organisation.
        levels: Vec<(OrgHash, f32)>,
    },
    /// A request for credit.
    Ask {
        /// The number of the message, unique for an incarnation of the sender.
        seq: u64,
        /// The organisation.
        org: OrgHash,
        /// The credits for requests that wait.
        need: u32,
        /// The credits for requests that are expected soon.
        ahead: u32,
    },
    /// The answer to a request for credit.
    Answer {
        /// The number of the request for credit.
        seq: u64,
        /// The organisation.
        org: OrgHash,
        /// The credits that are granted.
        granted: u32,
        /// The owner's term, which identifies its buckets.
        term: u64,
        /// The number of the grant, which the owner's bucket counts.
        take: u64,
        /// The time until more credit is available, in milliseconds.
        retry_after_ms: u32,
        /// Whether the owner is so new that its buckets may be emptier than the quota allows.
        is_new: bool,
    },
    /// The receiver of a request for credit does not own the organisation's group, or does not know the
    /// organisation's limit.
    NotOwner {
        /// The number of the request for credit.
        seq: u64,
        /// The organisation.
        org: OrgHash,
    },
    /// Credits that were not spent.
    Return {
        /// The number of the message, unique for an incarnation of the sender.
        seq: u64,
        /// The organisation.
        org: OrgHash,
        /// The term in which they were granted.
        term: u64,
        /// The number of the grant, which the owner's bucket counts.
        take: u64,
        /// The number of credits.
        count: u32,
    },
    /// A request for one credit of the receiver's fixed share, since no owner answers.
    ShareAsk {
        /// The number of the message, unique for an incarnation of the sender.
        seq: u64,
        /// The organisation.
        org: OrgHash,
    },
    /// The answer to a request for credit of the fixed share.
    ShareAnswer {
        /// The number of the request for credit.
        seq: u64,
        /// The organisation.
        org: OrgHash,
        /// Whether the credit is granted.
        is_granted: bool,
        /// The time until the fixed share has credit again, in milliseconds.
        retry_after_ms: u32,
    },
    /// The sender has restarted and asks the receiver to discard the votes of its earlier incarnations.
    /// Daemons of builds before it drop such messages.
    Withdraw {
        /// How long from now the votes of the sender count as early, in milliseconds.
        early_ms: u32,
    },
    /// The sender holds no votes of earlier incarnations of the receiver.
    Withdrawn {
        /// The receiver's incarnation that asked.
        incarnation: u64,
    },
}
