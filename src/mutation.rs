//! Faults planted in the program on purpose, to show that whoever judges it can find them. Only a build with the
//! feature `mutations` has them, one at a time and on one thread; in all others `is_active` is false when it is compiled.

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A once-only request is posted again after it may have run.
    RetryNonIdempotent,
    /// A referenced request is repeated out of its group and window.
    IgnoreRetryWindow,
    /// A worker that drains still gets new work.
    IgnoreDraining,
    /// A cold worker gets whatever its lane holds.
    IgnoreSlowStart,
    /// An answer that is ready while the program stops is not written.
    DropAnswerAtShutdown,
    /// Answers are decided 100 ms after the deadline.
    AnswerAfterDeadline,
    /// The timer of one deadline in sixteen is lost.
    DropDeadlineTimer,
    /// An old list overrides a new one.
    AcceptStaleList,
    /// A client that has left is not noticed, and its request is posted all the same.
    IgnoreClientDisconnect,
    /// The connection of an attempt that ended badly is never closed.
    LeakConnection,
    /// The id of a request in hand is taken again.
    AcceptDuplicateId,
    /// A connection that broke after the last byte counts as one that never came up.
    TreatLostAsNotRun,
    /// One answer in thirty-two ends before its last byte.
    TruncateAnswer,
    /// Whoever waits at a full door or a stop is closed at once.
    CloseWithoutAnswer,
    /// A reload drops the old watch before the new one has told anything.
    DropWatchOnReload,
    /// Txns that were posted more than once stay in hand for ever.
    LeakRequest,
    // What dispatchers are to each other.
    /// What a paused process waited for counts against others.
    IgnorePause,
    /// What an old incarnation said is believed.
    AcceptOldIncarnation,
    /// A member takes the rank after its own.
    WrongRank,
    /// A keeper that starts anew promises at once.
    ForgetLeasePromise,
    /// A keeper promises another while its word still holds.
    PromiseLeaseTwice,
    /// One less than a majority of the keepers is enough.
    LeaseWithoutMajority,
    /// A lease counts from the answer.
    LeaseFromReply,
    /// What was given is forgotten after a window, though it may be spent later.
    ForgetIssuedGrant,
    /// A new giver does not wait for what the one before gave.
    IssueWithoutHandoverWait,
    /// A request that comes twice is given to twice.
    GrantDuplicateRequest,
    /// A right is given and kept.
    KeepGrantedWork,
    /// A right that comes twice counts twice.
    AcceptDuplicateGrant,
    /// A right counts from the answer.
    GrantFromReply,
    /// One member's word on silence counts without bound.
    UnboundedSilenceReports,
    // How keepers agree on the fleet's settings.
    /// A keeper answers before its disk has what the answer rests on.
    ReplyBeforePersist,
    /// Half of the keepers are taken for more than half.
    MiscountMajority,
    /// What keepers have accepted before is not looked at.
    IgnoreAcceptedValue,
    /// A change gets the number after the one that it names, whatever is there.
    ReuseVersion,
    /// A keeper accepts what lies below what it has promised.
    AcceptBelowPromise,
    /// A keeper that starts anew has promised nothing.
    ForgetBallotPromise,
    /// A document is taken for the chosen one by its number alone.
    SkipDigestCheck,
    /// What was fetched is taken up though it is not whole.
    ApplyPartialDocument,
    /// A keeper that starts anew acts by nothing of what it had.
    RegressAfterRestart,
    /// An older document takes the place of a newer one.
    ApplyOlderDocument,
}

/// Those in how keepers agree on settings: `rosewall-cluster` finds them.
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

/// Those that play between dispatchers: `rosewall-cluster` finds them.
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

pub const ALL: &[Mutation] = &[
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

/// Plants a fault in what this thread runs from here on, or none.
#[cfg(feature = "mutations")]
pub fn activate(fault: Option<Mutation>) {
    ACTIVE.set(fault);
}

/// Whether this fault is planted.
#[cfg(feature = "mutations")]
pub fn is_active(fault: Mutation) -> bool {
    ACTIVE.get() == Some(fault)
}

/// No fault is planted in this build.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn is_active(_: Mutation) -> bool {
    false
}
