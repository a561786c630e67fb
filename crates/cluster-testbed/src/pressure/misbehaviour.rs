//! The kinds of misbehaviour.

/// What misbehaving clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Misbehaviour {
    /// Write a large request byte by byte.
    SlowWrite,
    /// Send most of a request of the largest size, and stay.
    HalfRequest,
    /// Send an endless head of very short fields, and stay.
    ShortFields,
    /// Send long heads with the longest ids, targets and keys that are accepted, with little or no body.
    LongNames,
    /// Send requests with ids of almost the longest head.
    LongIds,
    /// Send requests of the largest size, which run for long, and leave.
    LargeThenLeave,
    /// Send a small and a large request at once, read both answers, and stay.
    IdleAfterMuch,
    /// Send requests with large results, and read none.
    UnreadAnswers,
    /// Each connection does one of the above.
    Mixed,
    /// Send small requests with ever new ids and the longest time-out, as fast as they are taken.
    Flood,
    /// The same with ever new classes and tenants, which are refused.
    FloodUnknownNames,
    /// The same with one id.
    FloodOneId,
    /// Send requests that are rejected at once, the next ones as soon as some are answered.
    FloodRejected,
    /// Send readiness checks as fast as they are taken.
    FloodChecks,
    /// Send line ends as fast as they are taken.
    FloodLineEnds,
    /// Send many requests at once, then close with most of them unread. The ids come again.
    LeaveUnread,
    /// The same after reading what has been answered, so that the close is no reset.
    LeaveRead,
}

/// Misbehaviours of mixed connections, in turn.
pub(super) const MIXED: [Misbehaviour; 8] = [
    Misbehaviour::SlowWrite,
    Misbehaviour::HalfRequest,
    Misbehaviour::ShortFields,
    Misbehaviour::LongNames,
    Misbehaviour::LongIds,
    Misbehaviour::LargeThenLeave,
    Misbehaviour::IdleAfterMuch,
    Misbehaviour::UnreadAnswers,
];
