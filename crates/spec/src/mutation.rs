//! Faults that are seeded into the protocol; the checker must find each of them.

/// One seeded fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Items are dispatched before their dispatch mark is recorded.
    MarkAfterDispatch,
    /// Writes of the ledger are unconditional: they name no expected version.
    NoVersionCondition,
    /// A write without an answer is treated as applied.
    TrustTimedOutWrite,
    /// A write without an answer is treated as failed, and its object is not read again.
    ForgetTimedOutWrite,
    /// A new owner does not increment the epoch.
    EpochNotRaised,
    /// An item that cannot be resumed is run again.
    RunInsteadOfResume,
    /// A lost attempt at a non-idempotent item is treated as not run.
    LostCountsAsNotRun,
    /// After a version conflict, the owner overwrites the record that it found.
    OverwriteOnConflict,
    /// The job is marked as finished while chunks are open.
    FinishEarly,
    /// Cancelling a job overwrites the outcomes that its items already have.
    CancelOverwrites,
    /// A new owner does not read its predecessor's chunk records, and writes chunks unconditionally.
    IgnoreExistingRecords,
    /// A home's writes of a job's status are unconditional: they name no expected revision.
    UnconditionalStatus,
    /// Parts of a job's results are named by their position only, so that homes overwrite each other's.
    PartsByPlace,
    /// Results are shown before they are written.
    ShownBeforeWritten,
    /// A daemon puts a bundle in force without comparing its number with the current one.
    AnyNumberInForce,
    /// After a start, a daemon accepts a peer's pointer before it has asked the object API.
    PeerBeforeStore,
    /// A roll is unconditional: it names no expected version.
    UnconditionalRoll,
    /// A new lease holder does not wait until the orders of its predecessor have timed out.
    NoWaitBeforeOrders,
    /// The fencing number of the lease is not incremented when the lease is acquired.
    NumberNotRaised,
    /// A holder sends its order although its lease has expired.
    OrderAfterLapse,
}

impl Mutation {
    /// The faults of the ledger.
    pub const LEDGER: [Self; 11] = [
        Self::MarkAfterDispatch,
        Self::NoVersionCondition,
        Self::TrustTimedOutWrite,
        Self::ForgetTimedOutWrite,
        Self::EpochNotRaised,
        Self::RunInsteadOfResume,
        Self::LostCountsAsNotRun,
        Self::OverwriteOnConflict,
        Self::FinishEarly,
        Self::CancelOverwrites,
        Self::IgnoreExistingRecords,
    ];
    /// The faults of a job's status and results in the platform's store.
    pub const JOBS: [Self; 3] =
        [Self::UnconditionalStatus, Self::PartsByPlace, Self::ShownBeforeWritten];
    /// The faults of choosing the bundle in force.
    pub const IN_FORCE: [Self; 3] =
        [Self::AnyNumberInForce, Self::PeerBeforeStore, Self::UnconditionalRoll];
    /// The faults of orders to engines.
    pub const ORDERS: [Self; 3] =
        [Self::NoWaitBeforeOrders, Self::NumberNotRaised, Self::OrderAfterLapse];
}
