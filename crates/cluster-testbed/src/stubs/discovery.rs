//! Stub of a discovery service with one endpoint list. It can delay, withhold, truncate or malform its responses, and
//! refuse to serve.
use super::{TIMEOUT, listen, read_message};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Wait of a watch whose request does not specify one, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 60_000;
const MIN_WAIT: Duration = Duration::from_millis(1);

#[derive(Default)]
struct State {
    version: u64,
    endpoints: Vec<Value>,
    changed_endpoints: Vec<Value>,
    /// Whether connections are closed without an answer.
    down: bool,
    /// Version that the newest watch named; 0 if it requested a snapshot.
    watched_version: u64,
    /// Number of watches received.
    watches: u32,
    /// Body of the next response, sent once in place of a list.
    malformed: Option<&'static str>,
    /// Whether `endpoints` is current, so that a watch that missed a change is answered with a snapshot.
    has_full_list: bool,
    /// Number of times that all open watches were abandoned.
    abandon_count: u32,
    /// Whether watches are accepted but not answered.
    unresponsive: bool,
    /// Whether only half of the next response is sent, after which its connection stays open.
    truncates_next: bool,
    /// Time by which each response is late.
    answer_delay: Duration,
    /// Pause after each part of a response; `None` to send responses at once.
    part_pause: Option<Duration>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Stub of a discovery service. Clones share one list.
#[derive(Clone)]
pub struct Discovery {
    /// Address on which it accepts watches.
    pub address: String,
    shared: Arc<Shared>,
}

/// Number of parts of a response that is sent slowly.
const SLOW_PARTS: usize = 10;

/// Returns an endpoint in the form of an endpoint list. `health` is `ready`, `draining` or `gone`.
pub fn endpoint_json(name: &str, dial: &str, health: &str) -> Value {
    json!({"host": name, "dial": dial, "site": "here", "class": "m1", "block": 0, "health": health,
           "share": 1.0, "born_ms": 0})
}

/// Returns the number that follows `name` in the query of a request.
fn query_number(head: &str, name: &str) -> Option<u64> {
    let (_, rest) = head.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// Keeps a connection open, without sending, until the daemon closes it or sends more.
fn hold_open(mut stream: &TcpStream) {
    let _ = stream.read(&mut [0]);
}

/// Writes bytes in parts, with a pause after each.
fn write_slowly(mut stream: &TcpStream, bytes: &[u8], pause: Duration) -> Option<()> {
    for part in bytes.chunks(bytes.len().div_ceil(SLOW_PARTS).max(1)) {
        stream.write_all(part).ok()?;
        std::thread::sleep(pause);
    }
    Some(())
}

/// Watch of the endpoint list.
struct Watch {
    /// Version from which changes are requested; `None` for a snapshot.
    version: Option<u64>,
    deadline: Instant,
}

impl Watch {
    fn parse(head: &str) -> Watch {
        let wait_ms = query_number(head, "wait=").unwrap_or(DEFAULT_WAIT_MS);
        Watch {
            version: query_number(head, "index="),
            deadline: Instant::now() + Duration::from_millis(wait_ms),
        }
    }
}

/// Reason for which a watch stops waiting.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    Changed,
    Expired,
}

impl State {
    fn response(&mut self, watch: &Watch, end: WatchEnd) -> String {
        let full = watch
            .version
            .is_none_or(|version| self.has_full_list && version + 1 < self.version);
        let no_changes = Vec::new();
        let endpoints = match (full, end) {
            (true, _) => &self.endpoints,
            (false, WatchEnd::Changed) => &self.changed_endpoints,
            (false, WatchEnd::Expired) => &no_changes,
        };
        let list = json!({"seq": self.version, "whole": full, "hosts": endpoints}).to_string();
        let body = self.malformed.take().map_or(list, str::to_string);
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    }
}

impl Discovery {
    /// Starts the service with these endpoints at version 1.
    pub fn start(endpoints: Vec<Value>) -> Discovery {
        let state = State {
            version: 1,
            endpoints,
            ..State::default()
        };
        let mut discovery = Discovery {
            address: String::new(),
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Condvar::new(),
            }),
        };
        let own = discovery.clone();
        discovery.address = listen(move |stream| own.answer(stream));
        discovery
    }

    /// Starts another service with a list of these endpoints, whose version is higher.
    pub fn successor(&self, endpoints: Vec<Value>) -> Discovery {
        let successor = Discovery::start(endpoints);
        let version = self.shared.state.lock().unwrap().version + 1;
        successor.change(|state| {
            state.version = version;
            state.has_full_list = true;
        });
        successor
    }

    /// Answers one watch. Returns `None` to close the connection.
    fn answer(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, _) = read_message(&mut BufReader::new(stream))?;
        let mut state = self.shared.state.lock().unwrap();
        let watch = Watch::parse(&head);
        state.watches += 1;
        state.watched_version = watch.version.unwrap_or(0);
        self.shared.changed.notify_all();
        let abandon_count = state.abandon_count;
        let (mut state, end) = self.wait_for_change(state, &watch);
        if state.abandon_count != abandon_count {
            drop(state);
            hold_open(stream);
            return None;
        }
        if state.down {
            return None;
        }
        let response = state.response(&watch, end);
        if std::mem::take(&mut state.truncates_next) {
            let half = &response.as_bytes()[..response.len() / 2];
            stream.write_all(half).ok()?;
            drop(state);
            hold_open(stream);
            return None;
        }
        let State {
            part_pause,
            answer_delay,
            ..
        } = *state;
        drop(state);
        std::thread::sleep(answer_delay);
        match part_pause {
            None => stream.write_all(response.as_bytes()).ok(),
            Some(pause) => write_slowly(stream, response.as_bytes(), pause),
        }
    }

    /// Waits until the watch can be answered. A watch from any version but the newest is answered at once; a watch from
    /// the newest version is answered at the next change or when its wait has expired.
    fn wait_for_change<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        watch: &Watch,
    ) -> (MutexGuard<'a, State>, WatchEnd) {
        let abandon_count = state.abandon_count;
        let mut end = WatchEnd::Changed;
        while !state.down && state.abandon_count == abandon_count {
            let is_newest = watch.version == Some(state.version);
            if !is_newest {
                // A change that coincides with the end of the wait is still sent.
                end = WatchEnd::Changed;
            }
            if !state.unresponsive && (!is_newest || end == WatchEnd::Expired) {
                break;
            }
            let remaining = watch.deadline.saturating_duration_since(Instant::now());
            let waited = self
                .shared
                .changed
                .wait_timeout(state, remaining.max(MIN_WAIT));
            state = waited.unwrap().0;
            end = if Instant::now() >= watch.deadline {
                WatchEnd::Expired
            } else {
                WatchEnd::Changed
            };
        }
        (state, end)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.state.lock().unwrap());
        self.shared.changed.notify_all();
    }

    fn wait_until(&self, holds: impl Fn(&State) -> bool) {
        let state = self.shared.state.lock().unwrap();
        let waited = self
            .shared
            .changed
            .wait_timeout_while(state, TIMEOUT, |state| !holds(state));
        let (_state, timeout) = waited.unwrap();
        assert!(
            !timeout.timed_out(),
            "the daemon did not send the expected watch within {TIMEOUT:?}"
        );
    }

    /// Sends all further responses in ten parts, with a pause after each.
    pub fn send_slowly(&self, pause: Duration) {
        self.change(|state| state.part_pause = Some(pause));
    }

    /// Sends all further responses late by this time, as they were when the watch ended.
    pub fn answer_late(&self, delay: Duration) {
        self.change(|state| state.answer_delay = delay);
    }

    /// Publishes changes, and the full list for new watches and for those that missed a change. Does not wait for the
    /// daemon.
    pub fn publish(&self, changed: Vec<Value>, all: Vec<Value>) {
        self.change(|state| {
            state.version += 1;
            state.has_full_list = true;
            state.changed_endpoints = changed;
            state.endpoints = all;
        });
    }

    /// Publishes changes and waits until the daemon watches from the new version.
    pub fn publish_changes(&self, endpoints: Vec<Value>) {
        let mut version = 0;
        self.change(|state| {
            state.version += 1;
            version = state.version;
            state.changed_endpoints = endpoints;
        });
        self.wait_until(|state| state.watched_version == version);
    }

    /// Sends `text` once in place of a list and waits until the daemon watches from the newest version.
    pub fn send_malformed_list(&self, text: &'static str) {
        self.change(|state| {
            state.malformed = Some(text);
            state.version += 1;
        });
        self.wait_until(|state| {
            state.malformed.is_none() && state.watched_version == state.version
        });
    }

    /// Leaves the watches that are open now unanswered. Later watches are answered.
    pub fn abandon_open_watches(&self) {
        self.change(|state| state.abandon_count += 1);
    }

    /// Sends only half of the next response and keeps its connection open.
    pub fn truncate_next_response(&self) {
        self.change(|state| state.truncates_next = true);
    }

    /// Accepts watches without answering them, until [`Discovery::resume_responding`].
    pub fn stop_responding(&self) {
        self.change(|state| state.unresponsive = true);
    }

    /// Answers new watches again. Watches that are open now stay unanswered.
    pub fn resume_responding(&self) {
        self.change(|state| {
            state.unresponsive = false;
            state.abandon_count += 1;
        });
    }

    /// Waits until the daemon watches from the newest version.
    pub fn wait_until_list_is_read(&self) {
        self.wait_until(|state| state.watched_version == state.version);
    }

    /// Waits until `count` watches have been received since the start.
    pub fn wait_for_watches(&self, count: u32) {
        self.wait_until(|state| state.watches >= count);
    }

    /// Answers again, after [`Discovery::shut_down`], with the present list.
    pub fn reopen(&self) {
        self.change(|state| state.down = false);
    }

    /// Closes connections without an answer, until [`Discovery::restart`] or [`Discovery::reopen`].
    pub fn shut_down(&self) {
        self.change(|state| state.down = true);
    }

    /// Answers again, with a new list of these endpoints, and waits until the daemon watches from its version.
    pub fn restart(&self, endpoints: Vec<Value>) {
        self.change(|state| {
            state.version += 1;
            state.down = false;
            state.changed_endpoints = endpoints.clone();
            state.endpoints = endpoints;
        });
        self.wait_until(|state| state.watched_version == state.version);
    }

    /// Returns the number of watches received since the start.
    pub fn watch_count(&self) -> u32 {
        self.shared.state.lock().unwrap().watches
    }

    /// Waits until a watch from a version has been received, which shows that the daemon has a list.
    pub fn wait_for_versioned_watch(&self) {
        self.wait_until(|state| state.watched_version > 0);
    }
}
