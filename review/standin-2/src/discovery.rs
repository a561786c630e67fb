//! The discovery agent of the operators' protocol page.
use crate::http::Connection;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Entry {
    host: String,
    json: String,
    changed_in: u64,
}

struct State {
    seq: u64,
    entries: Vec<Entry>,
    /// Time that each answer takes longer.
    delay: Duration,
    /// Whether it takes no new connection and has closed the open ones.
    closed: bool,
    /// While it is not up, it closes each connection at once.
    up: bool,
    /// While it is silent, it takes calls and answers none.
    silent: bool,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    name: String,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(name: &str, record: &Record, seq: u64) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            seq,
            entries: Vec::new(),
            delay: Duration::ZERO,
            closed: false,
            up: true,
            silent: false,
        };
        let discovery = Discovery {
            address: listener.local_addr().expect("an address"),
            name: name.to_string(),
            record: record.clone(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.shared.0.lock().unwrap().closed {
                    return;
                }
                if !own.shared.0.lock().unwrap().up {
                    continue;
                }
                let own = own.clone();
                thread::spawn(move || while own.answer(&stream).is_some() {});
            }
        });
        discovery
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
    }

    /// Adds entries to the list, or replaces them, as one change. Returns when the agent had it.
    pub fn set(&self, entries: &[(&str, String)]) -> Duration {
        let mut at = Duration::ZERO;
        self.change(|state| {
            state.seq += 1;
            for (host, json) in entries {
                state.entries.retain(|entry| entry.host != *host);
                state.entries.push(Entry {
                    host: host.to_string(),
                    json: json.clone(),
                    changed_in: state.seq,
                });
            }
            at = self.record.now();
        });
        at
    }

    pub fn set_delay(&self, delay: Duration) {
        self.change(|state| state.delay = delay);
    }

    pub fn set_up(&self, up: bool) {
        self.change(|state| state.up = up);
    }

    pub fn set_silent(&self, silent: bool) {
        self.change(|state| state.silent = silent);
    }

    /// Takes no further connection and closes the open ones.
    pub fn close(&self) {
        self.change(|state| state.closed = true);
        let _ = std::net::TcpStream::connect(self.address);
    }

    /// The whole list, in the form of the configuration's `known`.
    pub fn whole_list(&self) -> String {
        list(&self.shared.0.lock().unwrap(), None)
    }

    /// Answers one call. Returns `None` to close the connection.
    fn answer(&self, stream: &std::net::TcpStream) -> Option<()> {
        let mut connection = Connection::new(stream.try_clone().ok()?);
        let request = connection.read(None).ok()?;
        let target = request.target().to_string();
        self.record
            .line(&format!("discovery {}: call {target}", self.name));
        let number = |name: &str| -> Option<u64> {
            let (_, rest) = target.split_once(name)?;
            rest.split('&').next()?.parse().ok()
        };
        let index = number("index=");
        let wait_until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            if state.closed {
                return None;
            }
            let newer = index.is_none_or(|index| state.seq > index);
            if !state.silent && (newer || Instant::now() >= wait_until) {
                break;
            }
            let left = wait_until.saturating_duration_since(Instant::now());
            let left = if state.silent {
                Duration::from_millis(100)
            } else {
                left
            };
            state = changed
                .wait_timeout(state, left.max(Duration::from_millis(1)))
                .unwrap()
                .0;
        }
        let body = list(&state, index);
        let delay = state.delay;
        drop(state);
        thread::sleep(delay);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let written = connection.write(format!("{head}{body}").as_bytes());
        self.record.line(&format!(
            "discovery {}: answer to {target}: {} bytes, {}",
            self.name,
            body.len(),
            if written.is_ok() {
                "written"
            } else {
                "the caller has gone"
            }
        ));
        written.ok()
    }
}

fn list(state: &State, index: Option<u64>) -> String {
    let newer = |entry: &&Entry| index.is_none_or(|index| entry.changed_in > index);
    let hosts: Vec<&str> = state
        .entries
        .iter()
        .filter(newer)
        .map(|entry| entry.json.as_str())
        .collect();
    format!(
        "{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}",
        state.seq,
        index.is_none(),
        hosts.join(",")
    )
}
