//! Stand-ins for clients, workers and discovery, and the program between them: what the tests of one process use.
//! They panic where a test could not go on.
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for any machine, and for a call that may wait 20 s; only a failing test waits so long.
const PATIENCE: Duration = Duration::from_secs(30);

/// What a worker does with one posting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Done,
    /// Done, but only after so many ms.
    Later(u64),
    /// Done, and then the connection ends.
    DoneClose,
    /// A status without a body, and whether it says that the job has not started.
    Status(u16, bool),
    /// One line with this state.
    State(&'static str),
    /// These bytes as the body of a 200, where `ID` stands for the id.
    Body(&'static str),
    Oversized,
    /// Ends the connection before it answers.
    Cut,
    /// Ends the connection after the start was told.
    CutStarted,
    Silent,
    /// Done, and then the connection is dropped as soon as anything more comes on it.
    DoneStale,
    /// Lines on progress without an end, as fast as they are taken.
    Endless,
    /// Done, and then more lines without an end, one each 20 ms.
    DoneEndless,
    /// Done, and as the next posting's first bytes come a second answer, by which that one has not started.
    DoneTwice,
}

/// What all workers of a test are to do, in the order of postings; then `Done`.
pub type Script = Arc<Mutex<VecDeque<Act>>>;

pub fn script(acts: &[Act]) -> Script {
    Arc::new(Mutex::new(acts.iter().copied().collect()))
}

type Seen = Mutex<Vec<(String, String, Vec<u8>)>>;

pub struct Worker {
    pub dial: String,
    /// The first line of each posting, its id and its body.
    pub seen: Arc<Seen>,
    pub connections: Arc<AtomicU32>,
    /// How many of them have ended.
    pub ended: Arc<AtomicU32>,
}

impl Worker {
    pub fn start(script: &Script) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let dial = listener.local_addr().unwrap().to_string();
        let worker = Worker {
            dial,
            seen: Arc::default(),
            connections: Arc::default(),
            ended: Arc::default(),
        };
        let (seen, count, script) = (
            worker.seen.clone(),
            worker.connections.clone(),
            script.clone(),
        );
        let ended = worker.ended.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let (seen, script, ended) = (seen.clone(), script.clone(), ended.clone());
                thread::spawn(move || {
                    while serve(&stream, &seen, &script).is_some() {}
                    drop(stream);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        worker
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// Serves each connection as long as `serve` answers; the address.
pub fn listen(serve: impl Fn(&TcpStream) -> Option<()> + Clone + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || while serve(&stream).is_some() {});
        }
    });
    address
}

/// Reads a head and a body by its length.
pub fn message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = field(&head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

pub fn field(head: &str, name: &str) -> Option<String> {
    let mut pairs = head.lines().filter_map(|line| line.split_once(':'));
    pairs
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
}

fn serve(mut stream: &TcpStream, seen: &Seen, script: &Mutex<VecDeque<Act>>) -> Option<()> {
    let (head, body) = message(&mut BufReader::new(stream))?;
    let first = head.lines().next()?.to_string();
    let id = field(&head, "request-id").unwrap_or_default();
    if first.starts_with("GET ") {
        seen.lock().unwrap().push((first, id, body));
        return stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx0=2\n")
            .ok();
    }
    let act = script.lock().unwrap().pop_front().unwrap_or(Act::Done);
    seen.lock().unwrap().push((first, id.clone(), body.clone()));
    let line = |state: &str| format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\"}}\n");
    let result = String::from_utf8_lossy(&body).to_string();
    let done = json!({"id": id, "from": "w", "state": "done", "result": format!("did {result}")})
        .to_string();
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let whole = |text: &str| {
        format!(
            "{chunked}{}{}0\r\n\r\n",
            chunk(&line("started")),
            chunk(text)
        )
    };
    let answer = match act {
        Act::Done => whole(&(done + "\n")),
        Act::DoneClose => {
            stream.write_all(whole(&(done + "\n")).as_bytes()).ok()?;
            return None;
        }
        Act::Later(ms) => {
            stream
                .write_all(format!("{chunked}{}", chunk(&line("started"))).as_bytes())
                .ok()?;
            thread::sleep(Duration::from_millis(ms));
            format!("{}0\r\n\r\n", chunk(&(done + "\n")))
        }
        Act::Status(status, unstarted) => {
            let word = if unstarted { "Not-Started: 1\r\n" } else { "" };
            format!("HTTP/1.1 {status} Other\r\n{word}Content-Length: 0\r\n\r\n")
        }
        Act::State(state) => whole(&line(state)),
        Act::Body(text) => whole(&text.replace("ID", &id)),
        Act::Oversized => whole(&format!("{{\"id\":\"{}\"", "x".repeat(70_000))),
        Act::Cut => return None,
        Act::CutStarted => {
            stream
                .write_all(format!("{chunked}{}", chunk(&line("started"))).as_bytes())
                .ok()?;
            return None;
        }
        Act::DoneStale => {
            stream.write_all(whole(&(done + "\n")).as_bytes()).ok()?;
            let _ = stream.read(&mut [0]);
            return None;
        }
        Act::Endless | Act::DoneEndless => {
            stream
                .write_all(format!("{chunked}{}", chunk(&line("started"))).as_bytes())
                .ok()?;
            if act == Act::DoneEndless {
                stream.write_all(chunk(&(done + "\n")).as_bytes()).ok()?;
            }
            let running = chunk(&line("running"));
            let flood = running.repeat(if act == Act::Endless { 1_000 } else { 1 });
            loop {
                stream.write_all(flood.as_bytes()).ok()?;
                if act == Act::DoneEndless {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }
        Act::DoneTwice => {
            stream.write_all(whole(&(done + "\n")).as_bytes()).ok()?;
            stream.peek(&mut [0]).ok()?;
            "HTTP/1.1 503 Other\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n".to_string()
        }
        Act::Silent => {
            // Until the dispatcher gives up.
            let _ = stream.read(&mut [0]);
            return None;
        }
    };
    stream.write_all(answer.as_bytes()).ok()
}

/// An address where connections never come up: its listener takes none, and its queue is full.
pub fn vanished_machine() -> (TcpListener, (String, Vec<TcpStream>)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let queue = std::iter::from_fn(connect).take(5_000).collect();
    (listener, (address.to_string(), queue))
}

#[derive(Default)]
struct Board {
    seq: u64,
    hosts: Vec<Value>,
    changed: Vec<Value>,
    down: bool,
    /// The version that the newest watch knows.
    watched: u64,
    calls: u32,
    /// Sent once in place of a list.
    garbage: Option<&'static str>,
    /// Whether `hosts` is the whole list as it is now, for whoever missed a change.
    keeps: bool,
    /// How often it has forgotten all calls that were open, and whether it takes calls and answers none.
    fallen: u32,
    deaf: bool,
    /// Whether the next answer ends in its middle, with its connection open.
    cuts: bool,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: String,
    board: Arc<(Mutex<Board>, Condvar)>,
}

pub fn host(name: &str, dial: &str, health: &str) -> Value {
    json!({"host": name, "dial": dial, "site": "here", "class": "m1", "block": 0, "health": health,
           "share": 1.0, "born_ms": 0})
}

impl Discovery {
    pub fn start(hosts: Vec<Value>) -> Discovery {
        let board = Arc::new((
            Mutex::new(Board {
                seq: 1,
                hosts,
                ..Board::default()
            }),
            Condvar::new(),
        ));
        let mut discovery = Discovery {
            address: String::new(),
            board,
        };
        let shared = discovery.clone();
        discovery.address = listen(move |stream| shared.answer(stream));
        discovery
    }

    fn answer(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, _) = message(&mut BufReader::new(stream))?;
        let index = head
            .split_once("index=")
            .and_then(|(_, rest)| rest.split(['&', ' ']).next()?.parse::<u64>().ok());
        let (lock, news) = &*self.board;
        let mut board = lock.lock().unwrap();
        board.calls += 1;
        board.watched = index.unwrap_or(0);
        news.notify_all();
        // A version that it never gave out is answered at once, one that it knows as the newest once the call's wait is over.
        let wait = head
            .split_once("wait=")
            .and_then(|(_, rest)| rest.split(['&', ' ']).next()?.parse().ok());
        let late = Instant::now() + Duration::from_millis(wait.unwrap_or(60_000));
        let (fallen, mut over) = (board.fallen, false);
        while !board.down
            && board.fallen == fallen
            && (board.deaf || index == Some(board.seq) && !over)
        {
            let left = late.saturating_duration_since(Instant::now());
            board = news
                .wait_timeout(board, left.max(Duration::from_millis(1)))
                .unwrap()
                .0;
            over = Instant::now() >= late;
        }
        if board.fallen != fallen {
            // This call is never answered.
            drop(board);
            let _ = stream.read(&mut [0]);
            return None;
        }
        if board.down {
            return None;
        }
        let whole = index.is_none_or(|index| board.keeps && index + 1 < board.seq);
        let none = Vec::new();
        let news = if over { &none } else { &board.changed };
        let hosts = if whole { &board.hosts } else { news };
        let list = json!({"seq": board.seq, "whole": whole, "hosts": hosts}).to_string();
        let text = board.garbage.take().map_or(list, str::to_string);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if std::mem::take(&mut board.cuts) {
            stream
                .write_all(&answer.as_bytes()[..answer.len() / 2])
                .ok()?;
            drop(board);
            let _ = stream.read(&mut [0]);
            return None;
        }
        stream.write_all(answer.as_bytes()).ok()
    }

    fn change(&self, change: impl FnOnce(&mut Board)) {
        change(&mut self.board.0.lock().unwrap());
        self.board.1.notify_all();
    }

    fn until(&self, holds: impl Fn(&Board) -> bool) {
        let (lock, news) = &*self.board;
        let board = lock.lock().unwrap();
        let (_board, late) = news
            .wait_timeout_while(board, PATIENCE, |board| !holds(board))
            .unwrap();
        assert!(!late.timed_out(), "discovery was not called");
    }

    /// Puts up changes, and the whole list for those who come new; waits for no one.
    pub fn put(&self, changed: Vec<Value>, all: Vec<Value>) {
        self.change(|board| {
            (board.seq, board.keeps) = (board.seq + 1, true);
            (board.changed, board.hosts) = (changed, all);
        });
    }

    /// Puts up changes, and waits until the program has read them.
    pub fn tell(&self, hosts: Vec<Value>) {
        let mut seq = 0;
        self.change(|board| {
            board.seq += 1;
            (seq, board.changed) = (board.seq, hosts);
        });
        self.until(|board| board.watched == seq);
    }

    pub fn garble(&self, text: &'static str) {
        self.change(|board| (board.garbage, board.seq) = (Some(text), board.seq + 1));
        self.until(|board| board.garbage.is_none() && board.watched == board.seq);
    }

    /// Never answers the calls that are open now.
    pub fn fall_silent(&self) {
        self.change(|board| board.fallen += 1);
    }

    /// Sends the next answer by half.
    pub fn cut_next(&self) {
        self.change(|board| board.cuts = true);
    }

    /// Takes calls and answers none.
    pub fn go_deaf(&self) {
        self.change(|board| board.deaf = true);
    }

    /// Answers again, but none of the calls of before.
    pub fn come_to(&self) {
        self.change(|board| (board.deaf, board.fallen) = (false, board.fallen + 1));
    }

    /// Waits until the program has read what was put up last.
    pub fn until_followed(&self) {
        self.until(|board| board.watched == board.seq);
    }

    /// Waits until so many calls have come.
    pub fn until_called(&self, calls: u32) {
        self.until(|board| board.calls >= calls);
    }

    pub fn go_down(&self) {
        self.change(|board| board.down = true);
    }

    pub fn come_back(&self, hosts: Vec<Value>) {
        self.change(|board| {
            board.seq += 1;
            (board.down, board.changed, board.hosts) = (false, hosts.clone(), hosts);
        });
        self.until(|board| board.watched == board.seq);
    }

    pub fn calls(&self) -> u32 {
        self.board.0.lock().unwrap().calls
    }

    pub fn until_watched(&self) {
        self.until(|board| board.watched > 0);
    }
}

pub fn configuration(discovery: &str, sockets: usize) -> Value {
    let scheme = |name: &str, effect: &str| {
        json!({"Name": name, "Idempotency": effect, "Group": "all", "WindowNs": 5_000_000_000_u64,
               "SlaTimeNs": 900_000_000, "ExpiryNs": 1_000_000_000, "Value": 1.0, "TardyValue": 0.2})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": {
            "Bounds": {"MaxPostings": 3, "Probes": false, "RetryAfter": true, "MaxRetryAfterNs": 2_000_000_000,
                       "ConnIdleNs": 30_000_000_000_u64, "ConnectTimeoutNs": 250_000_000},
            "Contract": {"ColdFrom": 0.2, "ColdNs": 1_000_000_000, "FallMultiple": 4.0, "FallNs": 1_000_000_000},
            "FamilyInfo": {"TellsStart": true, "ClassStretch": [2.0, 2.0, 2.0], "ClassKind": [-1, -1, -1]},
            "Kinds": ["m1"], "Zones": ["here"], "Me": 0, "Siblings": 1, "RegistryMode": "pushed",
            "Parties": [{"Name": "acme"}], "Report": {"Fields": [], "How": "none"},
            "Schemes": [scheme("thumb", "repeatable"), scheme("invoice", "by_key"), scheme("charge", "once")],
        }
    })
}

pub struct Daemon {
    child: Child,
    pub address: String,
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
    folder: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn folder() -> PathBuf {
    static SERIAL: AtomicU32 = AtomicU32::new(0);
    let serial = SERIAL.fetch_add(1, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("rosewalld-{}-{serial}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

impl Daemon {
    pub fn start(configuration: &Value) -> Daemon {
        Daemon::start_under("", configuration)
    }

    /// Starts it by a shell that runs `first` before.
    pub fn start_under(first: &str, configuration: &Value) -> Daemon {
        Daemon::start_read(first, configuration, true)
    }

    /// Starts it, and reads nothing of its log once it listens.
    pub fn start_unread(configuration: &Value) -> Daemon {
        Daemon::start_read("", configuration, false)
    }

    fn start_read(first: &str, configuration: &Value, reads: bool) -> Daemon {
        let folder = folder();
        let file = folder.join("config.json");
        std::fs::write(&file, configuration.to_string()).unwrap();
        let mut child = crate::process::command(first)
            .env("PROXY_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log: Arc<(Mutex<Vec<String>>, Condvar)> = Arc::default();
        let (kept, errors) = (log.clone(), child.stderr.take().unwrap());
        thread::spawn(move || {
            let mut lines = BufReader::new(errors).lines();
            while let Some(Ok(line)) = lines.next() {
                let listens = line.contains("listening on ");
                kept.0.lock().unwrap().push(line);
                kept.1.notify_all();
                if listens && !reads {
                    thread::sleep(2 * PATIENCE);
                }
            }
        });
        let mut daemon = Daemon {
            child,
            address: String::new(),
            log,
            folder,
        };
        let line = daemon.line("listening on ", 0);
        daemon.address = line.rsplit(' ').next().unwrap().to_string();
        daemon
    }

    /// Waits for a line of the log that holds `text`, from the line number `from` on.
    fn line(&self, text: &str, from: usize) -> String {
        let holds = |lines: &Vec<String>| {
            lines
                .iter()
                .skip(from)
                .find(|line| line.contains(text))
                .cloned()
        };
        let lines = self.log.0.lock().unwrap();
        let (lines, _) = self
            .log
            .1
            .wait_timeout_while(lines, PATIENCE, |lines| holds(lines).is_none())
            .unwrap();
        holds(&lines).unwrap_or_else(|| panic!("no line with {text:?} in {lines:#?}"))
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("/bin/sh")
                .args(["-c", &command])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Replaces the configuration and waits until the log speaks of it.
    pub fn reload(&self, text: &str, line: &str) {
        let from = self.log.0.lock().unwrap().len();
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        self.signal("HUP");
        self.line(line, from);
    }

    /// How many lines of the log hold `text`.
    pub fn lines(&self, text: &str) -> usize {
        self.log
            .0
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// One counter, as it stands now.
    pub fn counter(&self, name: &str) -> u64 {
        let from = self.log.0.lock().unwrap().len();
        self.signal("USR1");
        counter_in(&self.line("counters:", from), name)
    }

    /// Waits until a counter has reached a value.
    pub fn until_counter(&self, name: &str, value: u64) {
        let end = Instant::now() + PATIENCE;
        while self.counter(name) < value {
            assert!(
                Instant::now() < end,
                "{name} has not reached {value}: {:#?}",
                self.log.0.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends so many signals, some time apart.
    pub fn signals(&self, name: &str, count: u32) {
        let pid = self.child.id();
        let command = format!("for i in $(seq {count}); do kill -{name} {pid}; sleep 0.001; done");
        assert!(
            Command::new("/bin/sh")
                .args(["-c", &command])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits for the end: the exit code.
    pub fn exit(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Waits for the end: the exit code, and the line with the counters.
    pub fn ended(&mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        (code, self.line("stopped; counters:", 0))
    }

    pub fn client(&self) -> Client {
        Client::connect(&self.address)
    }

    pub fn until_ready(&self) {
        let end = Instant::now() + PATIENCE;
        while self.client().get("/healthz") != 200 {
            assert!(Instant::now() < end, "never ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

pub fn counter_in(line: &str, name: &str) -> u64 {
    let mut words = line.split(' ').filter_map(|word| word.split_once('='));
    words
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap()
}

pub struct Client {
    pub reader: BufReader<TcpStream>,
}

pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// A request's head and body, with `more` header lines.
pub fn request(id: &str, scheme: &str, seconds: f64, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api/do?x=1&y=%20 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {scheme}\r\n\
         Tenant: acme\r\nRequest-Timeout: {seconds}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Client {
    pub fn connect(address: &str) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client {
            reader: BufReader::new(stream),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        // A side that has closed shows when its answer is read.
        let _ = self.reader.get_mut().write_all(bytes);
    }

    pub fn answer(&mut self) -> Option<Answer> {
        let (head, body) = message(&mut self.reader)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Answer { status, head, body })
    }

    pub fn ask(&mut self, id: &str, scheme: &str, seconds: f64) -> Answer {
        self.send(request(id, scheme, seconds, "", "a body").as_bytes());
        self.answer().expect("no answer")
    }

    pub fn get(&mut self, path: &str) -> u16 {
        self.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
        self.answer().map_or(0, |answer| answer.status)
    }

    /// Whether the other side ends the connection; what it still sends before that is a fault.
    pub fn is_closed(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}
