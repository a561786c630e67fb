//! A hollow discovery service: one list, and an address of its own for each follower, as an agent beside each dispatcher has.
//! A watch is answered with all that changed since the version it names. When a follower has taken a change shows by its next
//! call, which names the new version: from outside, and the same for real and hollow ones.
use crate::scale::child::{Asked, message_end};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryReport {
    pub calls: u64,
    /// Calls that were answered with the whole list, and their bytes.
    pub whole: u64,
    pub whole_bytes: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub changes: u64,
    /// How many followers there are that have called at all.
    pub followers: u64,
    /// From a change to the last follower that had taken it, over all changes: the mean and the most, in ms.
    pub taken_mean_ms: f64,
    pub taken_most_ms: f64,
    /// Changes that some who follow have not taken yet.
    pub open: u64,
}

struct Board {
    seq: u64,
    hosts: BTreeMap<String, String>,
    /// The hosts that each version changed, the newest last.
    log: VecDeque<(u64, Vec<String>)>,
    /// When each version came, how many have not taken it yet, and when the last one did.
    open: BTreeMap<u64, (Instant, Duration)>,
    taken: Vec<f64>,
    /// The version that each follower has, once it called.
    has: Vec<Option<u64>>,
    waiting: Vec<Sender<()>>,
    report: DiscoveryReport,
}

/// How many versions are remembered, for those who were away; older ones get the whole list.
const REMEMBERED: usize = 4_096;

impl Board {
    fn text(&self, whole: bool, names: &[&String]) -> String {
        let lines: Vec<&str> = match whole {
            true => self.hosts.values().map(String::as_str).collect(),
            false => names
                .iter()
                .filter_map(|name| self.hosts.get(*name))
                .map(String::as_str)
                .collect(),
        };
        format!(
            "{{\"seq\":{},\"whole\":{whole},\"hosts\":[{}]}}",
            self.seq,
            lines.join(",")
        )
    }

    /// What is answered to a call from this version on; none while there is nothing new.
    fn answer(&mut self, index: Option<u64>, late: bool) -> Option<String> {
        let from = index.filter(|index| {
            *index == self.seq
                || self
                    .log
                    .front()
                    .is_some_and(|(seq, _)| *index + 1 >= *seq && *index < self.seq)
        });
        match from {
            Some(index) if index == self.seq && !late => None,
            Some(index) => {
                let mut names: Vec<&String> = self
                    .log
                    .iter()
                    .filter(|(seq, _)| *seq > index)
                    .flat_map(|(_, names)| names)
                    .collect();
                names.sort_unstable();
                names.dedup();
                Some(self.text(false, &names))
            }
            None => {
                let text = self.text(true, &[]);
                self.report.whole += 1;
                self.report.whole_bytes += text.len() as u64;
                Some(text)
            }
        }
    }

    /// A follower calls, and so has taken all up to this version.
    fn calls(&mut self, follower: usize, index: Option<u64>) {
        self.report.calls += 1;
        let Some(index) = index else { return };
        let before = self.has[follower].replace(index).unwrap_or(0);
        let taken = self
            .open
            .iter_mut()
            .filter(|(seq, _)| (before + 1..=index).contains(*seq));
        taken.for_each(|(_, (since, last))| *last = since.elapsed());
        let least = self.has.iter().flatten().min().copied().unwrap_or(0);
        while let Some(first) = self
            .open
            .first_entry()
            .filter(|first| *first.key() <= least)
        {
            let (_, last) = first.remove();
            self.taken.push(last.as_secs_f64() * 1e3);
        }
    }

    fn change(&mut self, lines: &[Value]) {
        self.seq += 1;
        let mut names = Vec::new();
        for line in lines {
            if let Some(name) = line["host"].as_str() {
                self.hosts.insert(name.to_string(), line.to_string());
                names.push(name.to_string());
            }
        }
        self.log.push_back((self.seq, names));
        if self.log.len() > REMEMBERED {
            self.log.pop_front();
        }
        self.open.insert(self.seq, (Instant::now(), Duration::ZERO));
        self.report.changes += 1;
        self.waiting.drain(..).for_each(|waiting| {
            let _ = waiting.try_send(());
        });
    }
}

struct Service {
    ex: Rc<LocalExecutor<'static>>,
    board: RefCell<Board>,
    down: Cell<bool>,
}

fn number(head: &str, name: &str) -> Option<u64> {
    let (_, rest) = head.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl Service {
    async fn serve(&self, follower: usize, mut stream: Async<TcpStream>) -> Option<()> {
        let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
        loop {
            let end = loop {
                if let Some(end) = message_end(&bytes) {
                    break end;
                }
                let count = stream
                    .read(&mut chunk)
                    .await
                    .ok()
                    .filter(|count| *count > 0)?;
                self.board.borrow_mut().report.bytes_in += count as u64;
                bytes.extend_from_slice(&chunk[..count]);
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end);
            let index = number(&head, "index=");
            let wait = Duration::from_millis(number(&head, "wait=").unwrap_or(60_000));
            self.board.borrow_mut().calls(follower, index);
            let until = Instant::now() + wait;
            let text = loop {
                let (tell, told) = async_channel::bounded(1);
                let answer = self
                    .board
                    .borrow_mut()
                    .answer(index, Instant::now() >= until);
                match answer.filter(|_| !self.down.get()) {
                    Some(text) => break text,
                    None if self.down.get() => return None,
                    None => self.board.borrow_mut().waiting.push(tell),
                }
                let late = async {
                    Timer::at(until).await;
                };
                let news = async {
                    let _ = told.recv().await;
                };
                news.or(late).await;
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            self.board.borrow_mut().report.bytes_out += text.len() as u64;
            stream.write_all(text.as_bytes()).await.ok()?;
        }
    }

    async fn listen(self: Rc<Self>, follower: usize, listener: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.down.get() || stream.get_ref().set_nodelay(true).is_err() {
                continue;
            }
            let service = self.clone();
            let serving = async move {
                service.serve(follower, stream).await;
            };
            self.ex.spawn(serving).detach();
        }
    }

    fn answer(&self, words: &[&str]) -> Result<String, String> {
        let mut board = self.board.borrow_mut();
        match words[0] {
            "begin" => {
                board.report = DiscoveryReport::default();
                board.taken.clear();
                board.open.clear();
            }
            "report" => {
                let mut report = board.report.clone();
                report.followers = board.has.iter().flatten().count() as u64;
                report.taken_most_ms = board.taken.iter().copied().fold(0.0, f64::max);
                report.taken_mean_ms =
                    board.taken.iter().sum::<f64>() / board.taken.len().max(1) as f64;
                report.open = board.open.len() as u64;
                return serde_json::to_string(&report).map_err(|error| error.to_string());
            }
            "change" => {
                let lines: Vec<Value> = serde_json::from_str(&words[1..].concat())
                    .map_err(|error| error.to_string())?;
                board.change(&lines);
            }
            // A follower that is gone has nothing to take.
            "gone" => {
                let follower: usize = words
                    .get(1)
                    .and_then(|word| word.parse().ok())
                    .unwrap_or(usize::MAX);
                if let Some(has) = board.has.get_mut(follower) {
                    *has = None;
                }
            }
            "down" => {
                self.down.set(true);
                board.waiting.clear();
            }
            "up" => self.down.set(false),
            other => return Err(format!("no such word: {other}")),
        }
        Ok("{}".to_string())
    }
}

/// Runs it until standard input ends. The first line out has the followers' ports.
pub fn run(followers: usize) -> Result<(), String> {
    let ex = Rc::new(LocalExecutor::new());
    let board = Board {
        seq: 0,
        hosts: BTreeMap::new(),
        log: VecDeque::new(),
        open: BTreeMap::new(),
        taken: Vec::new(),
        has: vec![None; followers],
        waiting: Vec::new(),
        report: DiscoveryReport::default(),
    };
    let service = Rc::new(Service {
        ex: ex.clone(),
        board: RefCell::new(board),
        down: Cell::new(false),
    });
    let mut ports = Vec::new();
    for follower in 0..followers {
        let listener =
            Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|error| error.to_string())?;
        ports.push(
            listener
                .get_ref()
                .local_addr()
                .map_err(|error| error.to_string())?
                .port(),
        );
        ex.spawn(service.clone().listen(follower, listener))
            .detach();
    }
    let asked = Asked::new();
    println!("{}", serde_json::json!({ "ports": ports }));
    async_io::block_on(ex.run(asked.answer(|words| service.answer(words))))
}
