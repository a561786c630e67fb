//! Parsing of the lines that the engine logs at debug level. Lines of versions up to 0.1 use other
//! words, which only this module handles.
#[cfg(test)]
mod tests;

/// Unix time in nanoseconds.
pub(crate) type UnixNanos = u64;

/// Parsed line: a time and the event logged then.
#[derive(Debug, PartialEq)]
pub(crate) struct LogLine<'a> {
    pub(crate) at: UnixNanos,
    pub(crate) event: LogEvent<'a>,
}

/// Event of a log line. Request numbers are unique within one run of a process.
#[derive(Debug, PartialEq)]
pub(crate) enum LogEvent<'a> {
    /// An endpoint list contained a host. `started_at` is 0 for a process that started long ago.
    EndpointListed {
        host: &'a str,
        started_at: UnixNanos,
    },
    RequestArrived {
        request: &'a str,
    },
    /// The dispatcher answered a request itself, without a worker's result.
    RequestAnswered {
        request: &'a str,
        answer: Answer,
    },
    AttemptSent {
        request: &'a str,
        host: &'a str,
    },
    AttemptEnded {
        outcome: AttemptOutcome,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Rejected,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptOutcome {
    Succeeded,
    AtCapacity,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    WorkerError,
    /// Not a fault of the worker: an invalid request, or an attempt cancelled or never sent.
    Other,
}

impl<'a> LogLine<'a> {
    /// Parses a line. Returns `None` for lines of other kinds and for incomplete ones.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let (_, fields) = text.split_once(" at=")?;
        let mut words = fields.split_whitespace();
        let at = words.next()?.parse().ok()?;
        let (subject, name) = words.next()?.split_once('=')?;
        let rest: Vec<&str> = words.collect();
        let event = match subject {
            "host" => endpoint_event(name, &rest),
            "request" | "txn" => request_event(name, &rest),
            _ => None,
        }?;
        Some(LogLine { at, event })
    }
}

fn endpoint_event<'a>(host: &'a str, words: &[&'a str]) -> Option<LogEvent<'a>> {
    match words {
        ["listed", _state, start_field] => {
            let started_at = start_field
                .strip_prefix("born=")
                .and_then(|nanos| nanos.parse().ok())
                .unwrap_or(0);
            Some(LogEvent::EndpointListed { host, started_at })
        }
        _ => None,
    }
}

fn request_event<'a>(request: &'a str, words: &[&'a str]) -> Option<LogEvent<'a>> {
    match words {
        ["arrived", ..] => Some(LogEvent::RequestArrived { request }),
        ["answered", answer, ..] => Some(LogEvent::RequestAnswered {
            request,
            answer: parse_answer(answer),
        }),
        [_attempt, "sent" | "posted", host] => Some(LogEvent::AttemptSent {
            request,
            host: host.trim_start_matches("host="),
        }),
        [_attempt, "ended", outcome] => Some(LogEvent::AttemptEnded {
            outcome: parse_outcome(outcome),
        }),
        _ => None,
    }
}

fn parse_answer(word: &str) -> Answer {
    if word.starts_with("Rejected") || word.starts_with("Declined") {
        Answer::Rejected
    } else {
        Answer::Failed
    }
}

fn parse_outcome(word: &str) -> AttemptOutcome {
    match word {
        "Succeeded" | "Settled" => AttemptOutcome::Succeeded,
        "AtCapacity" | "Full" => AttemptOutcome::AtCapacity,
        "ConnectFailed" | "NoConnection" => AttemptOutcome::ConnectFailed,
        "ConnectionLost" | "Broken" => AttemptOutcome::ConnectionLost,
        "TimedOut" | "TimeOut" => AttemptOutcome::TimedOut,
        "WorkerError" | "Error" => AttemptOutcome::WorkerError,
        _ => AttemptOutcome::Other,
    }
}
