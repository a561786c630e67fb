//! Dispatchers of the old shape, without talk, and of the new before the same workers.
use crate::common::{Client, Daemon, Discovery, configuration, field, host, message, request};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const SEATS: usize = 2;
/// Each txn's work, and how long the whole of it is watched.
const WORK: Duration = Duration::from_millis(60);
const LASTS: Duration = Duration::from_secs(7);
/// Of what a cold worker can do: little, so that a budget not kept shows at this load.
const MULTIPLE: f64 = 1.5;
const KINDS: [&str; 2] = ["old", "new"];

/// A worker with two seats, first come first served, that knows what it was sent and ran.
#[derive(Default)]
struct State {
    /// When, and by whose txn.
    sent: Vec<(Instant, String)>,
    ran: Vec<String>,
    running: usize,
    next: u64,
    serving: u64,
}

struct Worker {
    dial: String,
    state: Mutex<State>,
    news: Condvar,
    hangs: AtomicBool,
}

impl Worker {
    fn start() -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let dial = listener.local_addr().unwrap().to_string();
        let (state, news, hangs) = Default::default();
        let worker = Arc::new(Worker { dial, state, news, hangs });
        let shared = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || while shared.serve(&stream).is_some() {});
            }
        });
        worker
    }

    fn serve(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, _) = message(&mut BufReader::new(stream))?;
        let id = field(&head, "request-id")?;
        let mut state = self.state.lock().unwrap();
        state.sent.push((Instant::now(), id.clone()));
        if self.hangs.load(Ordering::SeqCst) {
            drop(state);
            let _ = stream.read(&mut [0]);
            return None;
        }
        let turn = state.next;
        state.next += 1;
        let mut state =
            self.news.wait_while(state, |state| state.serving < turn || state.running >= SEATS).unwrap();
        (state.serving, state.running) = (turn + 1, state.running + 1);
        state.ran.push(id.clone());
        drop(state);
        self.news.notify_all();
        let line = |state: &str| {
            format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n")
        };
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let started = stream.write_all(format!("{head}{}", chunk(line("started"))).as_bytes());
        sleep(WORK);
        self.state.lock().unwrap().running -= 1;
        self.news.notify_all();
        started.ok()?;
        stream.write_all(format!("{}0\r\n\r\n", chunk(line("done"))).as_bytes()).ok()
    }
}

/// What one client was told: its kind, the status, and how long it took.
type Told = (usize, u16, Duration);

/// Asks one after the other, about as much as all together have seats for.
fn client(daemon: &Daemon, kind: usize, name: &str, until: Instant) -> Vec<Told> {
    let (mut client, mut told) = (Client::connect(&daemon.address), Vec::new());
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let scheme = ["thumb", "invoice", "charge"][n % 3];
        let (id, from) = (format!("{name}-{scheme}-{n}"), Instant::now());
        let hint = format!("Work-Hint: {}\r\n", WORK.as_micros());
        client.send(request(&id, scheme, 1.5, &hint, "").as_bytes());
        let answer = client.answer().expect("a txn without an answer");
        told.push((kind, answer.status, from.elapsed()));
        sleep(Duration::from_millis(100 + 40 * (n as u64 % 4)));
    }
    told
}

fn free_port() -> String {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Well,
    MessagesLost,
    /// The new shape holds no budget for cold workers: a fault that has to show.
    NoBudget,
}

/// What was broken, by the workers' own counts and the clients' answers.
fn broken(case: Case) -> Vec<String> {
    let workers: Vec<Arc<Worker>> = (0..6).map(|_| Worker::start()).collect();
    let names = ["a", "b", "c", "d", "e", "f"];
    let line = |at: usize, health: &str| host(names[at], &workers[at].dial, health);
    // The sixth comes later, cold.
    let discovery = Discovery::start((0..5).map(|at| line(at, "ready")).collect());
    let peers: Vec<String> = (0..4).map(|_| free_port()).collect();
    let daemons: Vec<Daemon> = (0..4)
        .map(|me| {
            let mut given = configuration(&discovery.address, 1024);
            let settings = &mut given["settings"];
            (settings["Me"], settings["Siblings"]) = (me.into(), 4.into());
            settings["Contract"]["ColdNs"] = 6_000_000_000_u64.into();
            settings["Contract"]["FallMultiple"] = MULTIPLE.into();
            for scheme in settings["Schemes"].as_array_mut().unwrap() {
                (scheme["SlaTimeNs"], scheme["ExpiryNs"]) = (600_000_000.into(), 1_500_000_000.into());
            }
            if me % 2 == 1 {
                settings["Bounds"]["Peers"] = true.into();
                if case == Case::NoBudget {
                    settings["Contract"]["FallMultiple"] = 400.0.into();
                }
                let lost = |at: usize| case == Case::MessagesLost && at != me;
                let heard = |(at, peer): (usize, &String)| if lost(at) { free_port() } else { peer.clone() };
                let peers: Vec<String> = peers.iter().enumerate().map(heard).collect();
                given["talk"] = serde_json::json!({"listen": peers[me], "peers": peers});
            }
            Daemon::start(&given)
        })
        .collect();
    daemons.iter().for_each(Daemon::until_ready);
    let (begin, mut drained, mut born) = (Instant::now(), Instant::now(), Instant::now());
    let mut told: Vec<Told> = Vec::new();
    thread::scope(|scope| {
        let clients: Vec<_> = daemons
            .iter()
            .enumerate()
            .flat_map(|(me, daemon)| (0..7).map(move |n| (me, daemon, n)))
            .map(|(me, daemon, n)| {
                scope.spawn(move || {
                    client(daemon, me % 2, &format!("{}{me}.{n}", KINDS[me % 2]), begin + LASTS)
                })
            })
            .collect();
        sleep(Duration::from_millis(1_000));
        workers[1].hangs.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(1_000));
        discovery.tell(vec![line(0, "draining")]);
        drained = Instant::now();
        workers[1].hangs.store(false, Ordering::SeqCst);
        sleep(Duration::from_millis(500));
        let mut cold = line(5, "ready");
        cold["born_ms"] = (SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64).into();
        born = Instant::now();
        discovery.tell(vec![cold]);
        told.extend(clients.into_iter().flat_map(|client| client.join().unwrap()));
    });
    let mut broken = Vec::new();
    if told.iter().any(|(_, _, took)| *took > Duration::from_millis(1_550)) {
        broken.push("an answer after its expiry".to_string());
    }
    let mut runs: Vec<String> = workers.iter().flat_map(|w| w.state.lock().unwrap().ran.clone()).collect();
    runs.retain(|id| id.contains("charge"));
    runs.sort();
    if runs.windows(2).any(|pair| pair[0] == pair[1]) {
        broken.push("a once-only txn ran twice".into());
    }
    let sent = |at: usize| workers[at].state.lock().unwrap().sent.clone();
    // The grace of the settings is a second; the log speaks of no drain, so the list's own time counts.
    if sent(0).iter().any(|(at, _)| *at > drained + Duration::from_millis(550)) {
        broken.push("sent to a worker that drains".into());
    }
    let cold = sent(5);
    for (from, _) in &cold {
        let warmth = 0.2 + 0.8 * (*from - born).as_secs_f64() / 6.0;
        let window = cold.iter().filter(|(at, _)| at >= from && *at < *from + Duration::from_secs(1));
        let work = window.count() as f64 * WORK.as_secs_f64();
        if warmth < 1.0 && work > MULTIPLE * SEATS as f64 * warmth {
            broken.push(format!("a cold worker got {work:.2} s at {warmth:.2}"));
            break;
        }
    }
    let mean = |kind: usize| {
        let own: Vec<&Told> = told.iter().filter(|told| told.0 == kind).collect();
        let served = own.iter().filter(|told| told.1 == 200).count() as f64 / own.len() as f64;
        let took = own.iter().map(|told| told.2.as_secs_f64()).sum::<f64>() / own.len() as f64;
        (served, took - WORK.as_secs_f64())
    };
    let (old, new) = (mean(0), mean(1));
    eprintln!("{case:?}: served and mean wait, old {old:.3?}, new {new:.3?}, {} to the cold one", cold.len());
    if (old.0 - new.0).abs() > 0.1 || old.0.min(new.0) < 0.8 {
        broken.push(format!("served {:.2} and {:.2}", old.0, new.0));
    }
    if (old.1 - new.1).abs() > 0.05 {
        broken.push(format!("waits of {:.3} and {:.3} s", old.1, new.1));
    }
    if case != Case::NoBudget {
        let heard = daemons[1].counter("heard");
        assert_eq!(heard > 0, case == Case::Well, "{heard} messages heard");
        assert!(daemons[1].counter("told") > 0 && daemons[0].counter("told") == 0);
    }
    broken
}

/// Guards against a move in which one half breaks a rule that the other keeps, or takes what the other waits for.
#[test_case(Case::Well; "well")]
#[test_case(Case::MessagesLost; "all messages lost")]
fn old_and_new_shapes_share_workers(case: Case) {
    assert_eq!(broken(case), Vec::<String>::new());
}

/// The judge is judged.
#[test]
fn a_budget_that_one_kind_ignores_shows() {
    let broken = broken(Case::NoBudget);
    assert!(broken.iter().any(|what| what.starts_with("a cold worker")), "{broken:?}");
}
