//! Mutation testing: faults that can be activated to check that the tests and the simulation detect
//! them.
//!
//! Only builds with the feature `mutations` contain them. At most one mutation is active on a thread.
//! In all other builds [`is_active`] is false at compile time.

/// Fault that can be activated in place of a guard of the program.
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
    /// A client's disconnection is ignored, and its request is still sent.
    IgnoreClientDisconnect,
    /// The connection of an attempt that failed is never closed.
    LeakConnection,
    /// The id of an active request is accepted again.
    AcceptDuplicateId,
    /// A connection lost after the last byte of the request counts as one that was never established.
    TreatLostAsNotRun,
    /// One answer in thirty-two ends before its last byte.
    TruncateAnswer,
    /// Connections beyond the limit, or during a shutdown, are closed without an answer.
    CloseWithoutAnswer,
    /// A reload drops the old watch before the new one has delivered anything.
    DropWatchOnReload,
    /// Requests that were sent more than once are never removed.
    LeakRequest,
    /// An attempt is sent although its send deadline has passed.
    IgnoreSendDeadline,
    /// An attempt that waited for its connection tells its worker the time that was left before.
    StateOutdatedTimeout,
    /// After a reload, the new discovery service is not called again once it has failed.
    AbandonNewDiscovery,
    /// The cached endpoint list is used for as long as no other one has arrived.
    TrustCachedList,
    /// A request that was sent ahead is forwarded before what follows it is read, which is slow.
    IgnoreBytesSentAhead,
    /// The time of a request that was sent ahead counts from when it is taken from the buffer.
    IgnoreReadTimes,
    // Limits on what one dispatcher holds.
    /// Timers of completed requests are kept until they fire.
    KeepCompletedTimers,
    /// The content of a request is kept while an attempt runs, though its client has left.
    KeepContentWithoutClient,
    /// An answer that is written counts against no limit.
    IgnoreAnswerBytes,
    /// Only the body of a request counts against the limit on memory.
    IgnoreHeadBytes,
    /// A buffer keeps its memory while it is empty.
    KeepBufferMemory,
    // Protocol between dispatchers.
    /// The time for which this process was paused counts as silence of the other members.
    IgnorePause,
    /// Messages of an old incarnation are accepted.
    AcceptOldIncarnation,
    /// A member takes the rank after its own.
    WrongRank,
    /// A quorum member that restarts makes promises at once.
    ForgetLeasePromise,
    /// A quorum member promises a lease while its earlier promise still holds.
    PromiseLeaseTwice,
    /// One promise fewer than a majority of the quorum is enough for a lease.
    LeaseWithoutMajority,
    /// The duration of a lease starts at the reply instead of at the request.
    LeaseFromReply,
    /// An issued grant stops counting against the budget after one window, though it may be used later.
    ForgetIssuedGrant,
    /// A new grant issuer does not wait until its predecessor's grants no longer count against the
    /// budget.
    IssueWithoutHandoverWait,
    /// A duplicate grant request is granted again.
    GrantDuplicateRequest,
    /// Granted work is not deducted from the issuer's budget.
    KeepGrantedWork,
    /// A duplicate grant counts twice.
    AcceptDuplicateGrant,
    /// The duration of a grant starts at the reply instead of at the request.
    GrantFromReply,
    /// One member may report any number of workers as unresponsive.
    UnboundedSilenceReports,
    // Replicated register of the fleet's settings.
    /// A quorum member replies before the state that the reply depends on is on disk.
    ReplyBeforePersist,
    /// Half of the quorum counts as a majority.
    MiscountMajority,
    /// A proposer does not adopt the value that the quorum has already accepted.
    IgnoreAcceptedValue,
    /// A change gets the version after the one that it names, whatever the current version is.
    ReuseVersion,
    /// A quorum member accepts a ballot below its promise.
    AcceptBelowPromise,
    /// A quorum member loses its promised ballot when it restarts.
    ForgetBallotPromise,
    /// A document is accepted as the chosen one by its version alone.
    SkipDigestCheck,
    /// A fetched document is applied although it is incomplete.
    ApplyPartialDocument,
    /// A quorum member that restarts returns to a version older than the one it had applied.
    RegressAfterRestart,
    /// An older document replaces a newer one.
    ApplyOlderDocument,
}

/// Mutations of the replicated register, which the tests of `rosewall-cluster` must detect.
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

/// Mutations of the protocol between dispatchers, which the tests of `rosewall-cluster` must detect.
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

/// Mutations of a single dispatcher, which the simulation must detect.
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
    Mutation::IgnoreSendDeadline,
    Mutation::StateOutdatedTimeout,
    Mutation::AbandonNewDiscovery,
    Mutation::TrustCachedList,
    Mutation::IgnoreBytesSentAhead,
    Mutation::IgnoreReadTimes,
];

/// Mutations of the limits on what one dispatcher holds, which the tests of `rosewall-engine` must
/// detect.
pub const LIMITS: &[Mutation] = &[
    Mutation::KeepCompletedTimers,
    Mutation::KeepContentWithoutClient,
    Mutation::IgnoreAnswerBytes,
    Mutation::IgnoreHeadBytes,
    Mutation::KeepBufferMemory,
];

#[cfg(feature = "mutations")]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Activates a mutation on this thread and deactivates any other. `None` deactivates all.
#[cfg(feature = "mutations")]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

/// Returns whether the mutation is active on this thread.
#[cfg(feature = "mutations")]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// Returns false, as this build contains no mutations.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn is_active(_: Mutation) -> bool {
    false
}
