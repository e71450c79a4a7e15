//! The bytes in use by kind, and whether more fit.

use crate::limits::Kind;
use crate::limits::Limits;

/// The bytes in use by kind.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    bytes: [usize; Kind::ALL.len()],
}

impl Usage {
    pub(crate) fn of_kind(&self, kind: Kind) -> usize {
        self.bytes[kind as usize]
    }

    pub(crate) fn total(&self) -> usize {
        self.bytes.iter().fold(0, |sum, bytes| sum.saturating_add(*bytes))
    }

    fn reserve_users(&self) -> usize {
        let kinds = Kind::ALL.into_iter().filter(|kind| kind.may_use_reserve());
        kinds.fold(0, |sum, kind| sum.saturating_add(self.of_kind(kind)))
    }

    /// Returns how many bytes are missing until `more` bytes of a kind fit, whose limit is
    /// `kind_limit_bytes`.
    pub(crate) fn missing(
        &self,
        limits: &Limits,
        kind: Kind,
        kind_limit_bytes: usize,
        more: usize,
    ) -> usize {
        let over_kind = self.of_kind(kind).saturating_add(more).saturating_sub(kind_limit_bytes);
        let reserve_users = self.reserve_users();
        let unusable = if kind.may_use_reserve() {
            0
        } else {
            limits.reserve_bytes.saturating_sub(reserve_users)
        };
        let wanted = self.total().saturating_add(unusable).saturating_add(more);
        over_kind.max(wanted.saturating_sub(limits.total_bytes))
    }

    pub(crate) fn add(&mut self, kind: Kind, bytes: usize) {
        let used = &mut self.bytes[kind as usize];
        *used = used.saturating_add(bytes);
    }

    pub(crate) fn release(&mut self, kind: Kind, bytes: usize) {
        let used = &mut self.bytes[kind as usize];
        *used = used.saturating_sub(bytes);
    }
}
