//! Faults seeded into the protocol; the checker must find each of them.

/// One seeded fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Items are dispatched before their mark is recorded.
    MarkAfterDispatch,
    /// Writes do not name the version that must be there.
    NoVersionCondition,
    /// A write without an answer counts as done.
    TrustTimedOutWrite,
    /// A write without an answer counts as failed, and its object is not read again.
    ForgetTimedOutWrite,
    /// A new owner does not raise the epoch.
    EpochNotRaised,
    /// An item that cannot be resumed is run again.
    RunInsteadOfResume,
    /// A lost try of a non-idempotent item counts as not run.
    LostCountsAsNotRun,
    /// A record met at a conflict is overwritten.
    OverwriteOnConflict,
    /// The job is called finished while chunks are open.
    FinishEarly,
    /// A cancelled job's items lose the outcomes that they have.
    CancelOverwrites,
    /// A new owner does not read the records of the old one, and does not name versions.
    IgnoreExistingRecords,
    /// A home's writes of a job's status do not name the revision that must be there.
    UnconditionalStatus,
    /// Parts of a job's results are named by their place only, and are overwritten.
    PartsByPlace,
    /// Results are shown before they are written.
    ShownBeforeWritten,
    /// A bundle is put in force whatever its number is.
    AnyNumberInForce,
    /// After a start, a peer's word counts before the object API was asked.
    PeerBeforeStore,
    /// A roll does not name the version that must be there.
    UnconditionalRoll,
    /// A new holder does not wait for the old one's orders.
    NoWaitBeforeOrders,
    /// The lease's number is not raised at a taking.
    NumberNotRaised,
    /// A holder sends its order although its lease has lapsed.
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
    /// The faults of the ledger of a job's results on the platform's store.
    pub const JOBS: [Self; 3] =
        [Self::UnconditionalStatus, Self::PartsByPlace, Self::ShownBeforeWritten];
    /// The faults of the order of bundles.
    pub const IN_FORCE: [Self; 3] =
        [Self::AnyNumberInForce, Self::PeerBeforeStore, Self::UnconditionalRoll];
    /// The faults of orders to engines.
    pub const ORDERS: [Self; 3] =
        [Self::NoWaitBeforeOrders, Self::NumberNotRaised, Self::OrderAfterLapse];
}
