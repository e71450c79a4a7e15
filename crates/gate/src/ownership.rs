//! Decides whether an answer belongs to the request that was sent last on its connection.

use wire::RequestId;

use crate::codec::AnswerMeta;

/// What the connection carried before the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionHistory {
    /// Whether it carried another request.
    pub is_reused: bool,
    /// Whether it carried a request with the same id.
    pub has_same_id: bool,
}

/// The request that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The request that was sent last.
    Own,
    /// Possibly an earlier request, so the answer is skipped.
    Earlier,
    /// Unknown; the answer says nothing about whether the request has run.
    Unknown,
}

/// Returns the request that an answer belongs to.
///
/// A replica repeats the id of the request, and may write an earlier answer again at any time.
pub fn of_answer(meta: &AnswerMeta, id: &RequestId, history: ConnectionHistory) -> Ownership {
    match &meta.request_id {
        Some(other) if other != id => Ownership::Earlier,
        Some(_) if history.has_same_id => Ownership::Earlier,
        Some(_) => Ownership::Own,
        None if history.is_reused => Ownership::Earlier,
        None if meta.is_not_run => Ownership::Unknown,
        None => Ownership::Own,
    }
}
