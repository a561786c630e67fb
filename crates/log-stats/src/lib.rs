//! Sums over the debug logs of many dispatchers: what the hub writes of each txn, by second and by worker.
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is counted in a second, in the order of the columns.
const COLUMNS: [&str; 13] = [
    "arrived", "settled", "declined", "unposted", "reversed", "warm", "cold", "full", "unconn",
    "broken", "timeout", "error", "other",
];

/// Names of the field that holds a request's number: today's, and that of logs written by versions up to 0.1.
const REQUEST: &str = "request";
const OLD_REQUEST: &str = "txn";

/// Sums of one worker: postings, and the dispatchers that sent them, by their places among the logs.
#[derive(Default)]
struct Host {
    postings: u64,
    from: BTreeSet<usize>,
    /// When it was last said to have started, in Unix nanoseconds; 0 for long ago.
    born: u64,
}

/// One line of those that the hub writes at debug level: the moment, whose it is, and what it says.
struct Line<'a> {
    at: u64,
    of: &'a str,
    rest: Vec<&'a str>,
}

fn line(text: &str) -> Option<Line<'_>> {
    let (_, said) = text.split_once(" at=")?;
    let mut words = said.split_whitespace();
    Some(Line {
        at: words.next()?.parse().ok()?,
        of: words.next()?,
        rest: words.collect(),
    })
}

#[derive(Default)]
pub struct Tally {
    cold: u64,
    logs: usize,
    hosts: BTreeMap<String, Host>,
    /// By the second of Unix time.
    seconds: BTreeMap<u64, [u64; COLUMNS.len()]>,
}

impl Tally {
    /// `cold` is for how many seconds after its start a worker counts as cold.
    pub fn new(cold: f64) -> Self {
        Tally {
            cold: (cold.max(0.0) * 1e9) as u64,
            ..Tally::default()
        }
    }

    fn count(&mut self, at: u64, column: &str) {
        if let Some(place) = COLUMNS.iter().position(|name| *name == column) {
            self.seconds.entry(at / 1_000_000_000).or_default()[place] += 1;
        }
    }

    /// Takes in one dispatcher's log; lines of other kinds are passed over, also half ones at its end.
    pub fn read(&mut self, log: &str) {
        let mut sent: FxHashMap<&str, u32> = FxHashMap::default();
        for Line { at, of, rest } in log.lines().filter_map(line) {
            match (of.split_once('='), rest.as_slice()) {
                (Some(("host", host)), ["listed", _, born]) => {
                    let born = born
                        .strip_prefix("born=")
                        .and_then(|born| born.parse().ok())
                        .unwrap_or(0);
                    self.hosts.entry(host.to_string()).or_default().born = born;
                }
                (Some((REQUEST | OLD_REQUEST, request)), ["arrived", ..]) => {
                    // A restart begins the numbers anew.
                    sent.insert(request, 0);
                    self.count(at, "arrived");
                }
                (Some((REQUEST | OLD_REQUEST, request)), ["answered", answer, ..]) => {
                    let declined = answer.starts_with("Rejected") || answer.starts_with("Declined");
                    self.count(at, if declined { "declined" } else { "reversed" });
                    if declined && sent.get(request) == Some(&0) {
                        self.count(at, "unposted");
                    }
                }
                (Some((REQUEST | OLD_REQUEST, request)), [_, "sent" | "posted", host]) => {
                    *sent.entry(request).or_default() += 1;
                    let host = self
                        .hosts
                        .entry(host.trim_start_matches("host=").to_string())
                        .or_default();
                    host.postings += 1;
                    host.from.insert(self.logs);
                    let cold = host.born > 0 && at < host.born + self.cold;
                    self.count(at, if cold { "cold" } else { "warm" });
                }
                (Some((REQUEST | OLD_REQUEST, _)), [_, "ended", outcome]) => {
                    let column = match *outcome {
                        "Succeeded" | "Settled" => "settled",
                        "AtCapacity" | "Full" => "full",
                        "ConnectFailed" | "NoConnection" => "unconn",
                        "ConnectionLost" | "Broken" => "broken",
                        "TimedOut" | "TimeOut" => "timeout",
                        "WorkerError" | "Error" => "error",
                        // Unfit, moot, withdrawn: no fault of the worker's.
                        _ => "other",
                    };
                    self.count(at, column);
                }
                _ => {}
            }
        }
        self.logs += 1;
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "second")?;
        COLUMNS
            .iter()
            .try_for_each(|name| write!(f, " {name:>8}"))?;
        writeln!(f)?;
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        for (second, counts) in &self.seconds {
            write!(f, "{:>6}", second - first)?;
            counts
                .iter()
                .try_for_each(|count| write!(f, " {count:>8}"))?;
            writeln!(f)?;
        }
        let all: u64 = self.hosts.values().map(|host| host.postings).sum();
        let mut hosts: Vec<(&String, &Host)> = self.hosts.iter().collect();
        hosts.sort_by_key(|(name, host)| (std::cmp::Reverse(host.postings), *name));
        writeln!(
            f,
            "{} logs, {} workers, {all} postings; worker, postings, part, dispatchers:",
            self.logs,
            hosts.len()
        )?;
        for (name, Host { postings, from, .. }) in hosts {
            let part = *postings as f64 / (all.max(1)) as f64 * 100.0;
            writeln!(f, "{name} {postings} {part:.1}% {}", from.len())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD_LOG: &str = "0.0 DEBUG at=5000000000 host=a listed Ready born=0\n\
        0.0 DEBUG at=5000000000 host=b listed Ready born=4000000000\n\
        0.0 INFO listening on 127.0.0.1:1\n\
        0.1 DEBUG at=5100000000 txn=1 arrived scheme=0 hint=5\n\
        0.1 DEBUG at=5100000000 txn=1 leg=0 posted host=b\n\
        0.1 DEBUG at=5200000000 txn=1 leg=0 ended NoConnection\n\
        0.1 DEBUG at=5200000000 txn=1 leg=1 posted host=a\n\
        1.1 DEBUG at=6200000000 txn=1 leg=1 ended Settled\n\
        1.2 DEBUG at=6300000000 txn=2 arrived scheme=0 hint=5\n\
        1.2 DEBUG at=6300000000 txn=2 answered Declined { come_back: 5 }\n\
        1.3 DEBUG at=64000";

    const LOG: &str = "0.0 DEBUG at=5000000000 host=a listed Ready born=0\n\
        0.0 DEBUG at=5000000000 host=b listed Ready born=4000000000\n\
        0.0 INFO listening on 127.0.0.1:1\n\
        0.1 DEBUG at=5100000000 request=1 arrived class=0 hint=5\n\
        0.1 DEBUG at=5100000000 request=1 attempt=0 sent host=b\n\
        0.1 DEBUG at=5200000000 request=1 attempt=0 ended ConnectFailed\n\
        0.1 DEBUG at=5200000000 request=1 attempt=1 sent host=a\n\
        1.1 DEBUG at=6200000000 request=1 attempt=1 ended Succeeded\n\
        1.2 DEBUG at=6300000000 request=2 arrived class=0 hint=5\n\
        1.2 DEBUG at=6300000000 request=2 answered Rejected { retry_after: 5 }\n\
        1.3 DEBUG at=64000";

    /// Guards against a sum that takes the parts of one dispatcher for the fleet's.
    #[test]
    fn logs_of_several_are_summed_by_second_and_by_worker() {
        assert_sums(LOG);
    }

    #[test]
    fn logs_of_earlier_versions_are_read_as_before() {
        assert_sums(OLD_LOG);
    }

    fn assert_sums(log: &str) {
        let mut tally = Tally::new(3.0);
        (0..2).for_each(|_| tally.read(log));
        //                              arr set dec unp rev warm cold full unc bro tim err oth
        assert_eq!(tally.seconds[&5], [2, 0, 0, 0, 0, 2, 2, 0, 2, 0, 0, 0, 0]);
        assert_eq!(tally.seconds[&6], [2, 2, 2, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        assert!(
            tally.to_string().contains("2 logs, 2 workers, 4 postings")
                && tally.to_string().contains("b 2 50.0% 2")
        );
    }
}
