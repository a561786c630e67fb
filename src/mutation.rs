//! Mutation testing: guards that can be left out on purpose, to show that the tests and the simulation find it.
//!
//! Only a build with the feature `mutations` has them, one at a time and on one thread. In all others [`is_active`] is
//! false at compile time.

/// A guard of the program that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A non-idempotent request is sent again after it may have run.
    RetryNonIdempotent,
    /// A request with an idempotency key is retried outside its retry scope and window.
    IgnoreRetryWindow,
    /// A draining worker still gets new requests.
    IgnoreDraining,
    /// A warming worker gets all requests of its interval.
    IgnoreSlowStart,
    /// An answer that is ready at a shutdown is not written.
    DropAnswerAtShutdown,
    /// Deadlines are handled 100 ms late.
    AnswerAfterDeadline,
    /// The timer of one deadline in sixteen is lost.
    DropDeadlineTimer,
    /// An old endpoint list replaces a newer one.
    AcceptStaleList,
    /// A client's disconnection is not noticed, and its request is sent all the same.
    IgnoreClientDisconnect,
    /// The connection of an attempt that failed is never closed.
    LeakConnection,
    /// The id of an active request is accepted again.
    AcceptDuplicateId,
    /// A connection that broke after the last byte counts as one that never came up.
    TreatLostAsNotRun,
    /// One answer in thirty-two ends before its last byte.
    TruncateAnswer,
    /// Connections beyond the limit, or during a shutdown, are closed without an answer.
    CloseWithoutAnswer,
    /// A reload drops the old watch before the new one has delivered anything.
    DropWatchOnReload,
    /// Requests that were sent more than once stay active for ever.
    LeakRequest,
    // Between dispatchers.
    /// The time for which this process was paused counts as silence of others.
    IgnorePause,
    /// Messages of an old incarnation are accepted.
    AcceptOldIncarnation,
    /// A member takes the rank after its own.
    WrongRank,
    /// A quorum member that restarts makes promises at once.
    ForgetLeasePromise,
    /// A quorum member promises a lease while its earlier promise still holds.
    PromiseLeaseTwice,
    /// One less than a majority of the quorum is enough for a lease.
    LeaseWithoutMajority,
    /// A lease counts from the reply instead of from the request.
    LeaseFromReply,
    /// An issued grant is forgotten after a window, though it may be used later.
    ForgetIssuedGrant,
    /// A new grant issuer does not wait for what its predecessor issued.
    IssueWithoutHandoverWait,
    /// A duplicate grant request is granted again.
    GrantDuplicateRequest,
    /// Granted work also stays in the issuer's budget.
    KeepGrantedWork,
    /// A duplicate grant counts twice.
    AcceptDuplicateGrant,
    /// A grant counts from the reply instead of from the request.
    GrantFromReply,
    /// One member may report any number of workers as unresponsive.
    UnboundedSilenceReports,
    // The replicated register of the fleet's settings.
    /// A quorum member replies before its disk has what the reply rests on.
    ReplyBeforePersist,
    /// Half of the quorum counts as a majority.
    MiscountMajority,
    /// Values that the quorum has accepted before are not taken over.
    IgnoreAcceptedValue,
    /// A change gets the version after the one that it names, whatever is there.
    ReuseVersion,
    /// A quorum member accepts a ballot below its promise.
    AcceptBelowPromise,
    /// A quorum member that restarts has promised no ballot.
    ForgetBallotPromise,
    /// A document is taken for the chosen one by its version alone.
    SkipDigestCheck,
    /// A fetched document is applied though it is not complete.
    ApplyPartialDocument,
    /// A quorum member that restarts falls back behind what it had applied.
    RegressAfterRestart,
    /// An older document replaces a newer one.
    ApplyOlderDocument,
}

/// The mutations of the replicated register. The tests of `rosewall-cluster` find them.
pub const REGISTER: &[Mutation] = &[
    Mutation::ReplyBeforePersist,
    Mutation::MiscountMajority,
    Mutation::IgnoreAcceptedValue,
    Mutation::ReuseVersion,
    Mutation::AcceptBelowPromise,
    Mutation::ForgetBallotPromise,
    Mutation::SkipDigestCheck,
    Mutation::ApplyPartialDocument,
    Mutation::RegressAfterRestart,
    Mutation::ApplyOlderDocument,
];

/// The mutations between dispatchers. The tests of `rosewall-cluster` find them.
pub const CLUSTER: &[Mutation] = &[
    Mutation::IgnorePause,
    Mutation::AcceptOldIncarnation,
    Mutation::WrongRank,
    Mutation::ForgetLeasePromise,
    Mutation::PromiseLeaseTwice,
    Mutation::LeaseWithoutMajority,
    Mutation::LeaseFromReply,
    Mutation::ForgetIssuedGrant,
    Mutation::IssueWithoutHandoverWait,
    Mutation::GrantDuplicateRequest,
    Mutation::KeepGrantedWork,
    Mutation::AcceptDuplicateGrant,
    Mutation::GrantFromReply,
    Mutation::UnboundedSilenceReports,
];

/// The mutations of one dispatcher. The simulation finds them.
pub const DISPATCHER: &[Mutation] = &[
    Mutation::RetryNonIdempotent,
    Mutation::IgnoreRetryWindow,
    Mutation::IgnoreDraining,
    Mutation::IgnoreSlowStart,
    Mutation::DropAnswerAtShutdown,
    Mutation::AnswerAfterDeadline,
    Mutation::DropDeadlineTimer,
    Mutation::AcceptStaleList,
    Mutation::IgnoreClientDisconnect,
    Mutation::LeakConnection,
    Mutation::AcceptDuplicateId,
    Mutation::TreatLostAsNotRun,
    Mutation::TruncateAnswer,
    Mutation::CloseWithoutAnswer,
    Mutation::DropWatchOnReload,
    Mutation::LeakRequest,
];

#[cfg(feature = "mutations")]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Activates a mutation on this thread, or none.
#[cfg(feature = "mutations")]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

/// Whether the mutation is active on this thread.
#[cfg(feature = "mutations")]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// No mutation is active in this build.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn is_active(_: Mutation) -> bool {
    false
}
