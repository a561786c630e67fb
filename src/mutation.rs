//! Faults planted in the program on purpose, to show that whoever judges it can find them. Only a build with the
//! feature `sabotage` has them, one at a time and on one thread; in all others `is` is false when it is compiled.

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A once-only request is posted again after it may have run.
    OnceOnlyAgain,
    /// A referenced request is repeated out of its group and window.
    WindowIgnored,
    /// A worker that drains still gets new work.
    GraceIgnored,
    /// A cold worker gets whatever its lane holds.
    ColdIgnored,
    /// An answer that is ready while the program stops is not written.
    AnswerLostAtStop,
    /// Answers are decided 100 ms after the deadline.
    LateAnswer,
    /// The timer of one deadline in sixteen is lost.
    TimerLost,
    /// An old list overrides a new one.
    OldListWins,
    /// A client that has left is not noticed, and its request is posted all the same.
    LeftIgnored,
    /// The connection of an attempt that ended badly is never closed.
    ConnectionLeaked,
    /// The id of a request in hand is taken again.
    IdTakenTwice,
    /// A connection that broke after the last byte counts as one that never came up.
    BrokenIsUnrun,
    /// One answer in thirty-two ends before its last byte.
    HalfAnswer,
    /// Whoever waits at a full door or a stop is closed at once.
    ClosedAtOnce,
    /// A reload drops the old watch before the new one has told anything.
    WatchDropped,
    /// Txns that were posted more than once stay in hand for ever.
    TxnKept,
    // What dispatchers are to each other.
    /// What a paused process waited for counts against others.
    SleepIgnored,
    /// What an old incarnation said is believed.
    OldIncarnation,
    /// A member takes the rank after its own.
    RankOff,
    /// A keeper that starts anew promises at once.
    KeeperForgets,
    /// A keeper promises another while its word still holds.
    PromisedTwice,
    /// One less than a majority of the keepers is enough.
    HalfIsEnough,
    /// A lease counts from the answer.
    LeaseFromAnswer,
    /// What was given is forgotten after a window, though it may be spent later.
    RightsLinger,
    /// A new giver does not wait for what the one before gave.
    NewGiverHasty,
    /// A request that comes twice is given to twice.
    WantedTwice,
    /// A right is given and kept.
    GivenAndKept,
    /// A right that comes twice counts twice.
    GrantedTwice,
    /// A right counts from the answer.
    RightFromAnswer,
    /// One member's word on silence counts without bound.
    WordUnbounded,
    // How keepers agree on the fleet's settings.
    /// A keeper answers before its disk has what the answer rests on.
    AnsweredBeforeDisk,
    /// Half of the keepers are taken for more than half.
    MajorityMiscounted,
    /// What keepers have accepted before is not looked at.
    AcceptedIgnored,
    /// A change gets the number after the one that it names, whatever is there.
    VersionReused,
    /// A keeper accepts what lies below what it has promised.
    AcceptedBelowPromise,
    /// A keeper that starts anew has promised nothing.
    PromiseForgotten,
    /// A document is taken for the chosen one by its number alone.
    DigestNotCompared,
    /// What was fetched is taken up though it is not whole.
    HalfTakenUp,
    /// A keeper that starts anew acts by nothing of what it had.
    LowerAfterRestart,
    /// An older document takes the place of a newer one.
    GoesBack,
}

/// Those in how keepers agree on settings: `rosewall-cluster` finds them.
pub const SETTINGS: &[Fault] = &[
    Fault::AnsweredBeforeDisk,
    Fault::MajorityMiscounted,
    Fault::AcceptedIgnored,
    Fault::VersionReused,
    Fault::AcceptedBelowPromise,
    Fault::PromiseForgotten,
    Fault::DigestNotCompared,
    Fault::HalfTakenUp,
    Fault::LowerAfterRestart,
    Fault::GoesBack,
];

/// Those that play between dispatchers: `rosewall-cluster` finds them.
pub const BETWEEN: &[Fault] = &[
    Fault::SleepIgnored,
    Fault::OldIncarnation,
    Fault::RankOff,
    Fault::KeeperForgets,
    Fault::PromisedTwice,
    Fault::HalfIsEnough,
    Fault::LeaseFromAnswer,
    Fault::RightsLinger,
    Fault::NewGiverHasty,
    Fault::WantedTwice,
    Fault::GivenAndKept,
    Fault::GrantedTwice,
    Fault::RightFromAnswer,
    Fault::WordUnbounded,
];

pub const ALL: &[Fault] = &[
    Fault::OnceOnlyAgain,
    Fault::WindowIgnored,
    Fault::GraceIgnored,
    Fault::ColdIgnored,
    Fault::AnswerLostAtStop,
    Fault::LateAnswer,
    Fault::TimerLost,
    Fault::OldListWins,
    Fault::LeftIgnored,
    Fault::ConnectionLeaked,
    Fault::IdTakenTwice,
    Fault::BrokenIsUnrun,
    Fault::HalfAnswer,
    Fault::ClosedAtOnce,
    Fault::WatchDropped,
    Fault::TxnKept,
];

#[cfg(feature = "sabotage")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Plants a fault in what this thread runs from here on, or none.
#[cfg(feature = "sabotage")]
pub fn plant(fault: Option<Fault>) {
    PLANTED.set(fault);
}

/// Whether this fault is planted.
#[cfg(feature = "sabotage")]
pub fn is(fault: Fault) -> bool {
    PLANTED.get() == Some(fault)
}

/// No fault is planted in this build.
#[cfg(not(feature = "sabotage"))]
#[inline(always)]
pub const fn is(_: Fault) -> bool {
    false
}
