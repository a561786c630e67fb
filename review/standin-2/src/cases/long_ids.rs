//! Bad clients send heads as long as the dispatcher takes, and it keeps their ids.
use crate::client::{self, Request};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Setup};
use crate::http::Connection;
use crate::settings::PIEDMONT;
use crate::worker::{Log, Reply, Size, Worker};
use crate::{Finding, Run};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const WORKERS: usize = 14;
/// Two cores with one slot each, and a queue of 15 a core.
const SIZE: Size = Size {
    slots: 2,
    queue: 30,
};
const MEMORY_MB: usize = 32;
const RUN_MS: u64 = 120;
/// Bad clients, which send one request after the other.
const BAD_CLIENTS: usize = 12;
/// Length of the ids that they make up, and of an ordinary one.
const LONG: usize = 15_000;
const ORDINARY: usize = 16;
const FROM: f64 = 2.0;
const END: f64 = 45.0;

fn request(id: String, timeout: Duration) -> Request {
    Request {
        id,
        class: "label-lookup",
        tenant: PIEDMONT.tenant,
        timeout,
        run_ms: RUN_MS,
        hints: false,
        body: "{}".into(),
    }
}

pub fn run(run: &Run) -> Result<Finding, String> {
    let record = &run.record;
    let log = Log::default();
    let discovery = Discovery::start("agent", record, 40);
    for number in 0..WORKERS {
        let name = format!("w{number:02}");
        let worker = Worker::start(&name, record, &log, SIZE, Arc::new(|_| Reply::Done));
        let zone = PIEDMONT.zones[number % PIEDMONT.zones.len()];
        discovery.set(&[(&name, worker.entry(zone, 0, "ready"))]);
    }
    let setup = Setup {
        name: "n0",
        discovery: discovery.address,
        known: &discovery.whole_list(),
        memory_mb: MEMORY_MB,
        settings: &PIEDMONT.settings(0),
    };
    let mut dispatcher = Dispatcher::start(&run.folder, record, &setup)?;
    let address = dispatcher.address;
    let platform = Platform::watch(&dispatcher, run);
    // The usual clients: one request every 200 ms.
    let usual = thread::spawn({
        let record = record.clone();
        move || {
            let mut clients = Vec::new();
            while record.now().as_secs_f64() < END {
                let request = request(
                    format!("usual-{:03}", clients.len()),
                    Duration::from_secs(5),
                );
                let record = record.clone();
                clients.push(thread::spawn(move || {
                    client::send(&record, address, &request, Duration::from_secs(6))
                }));
                thread::sleep(Duration::from_millis(200));
            }
            clients
                .into_iter()
                .filter_map(|client| client.join().ok())
                .collect::<Vec<_>>()
        }
    });
    run.until(FROM);
    let length = if run.trouble { LONG } else { ORDINARY };
    let bad: Vec<_> = (0..BAD_CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || bad_client(client, length, address, &record))
        })
        .collect();
    let answered: usize = bad
        .into_iter()
        .filter_map(|client| client.join().ok())
        .sum();
    let outcomes = usual.join().map_err(|_| "the clients failed".to_string())?;
    let (killed, peak) = platform.end();
    let died = !dispatcher.is_running();
    if !killed {
        dispatcher.end();
    }
    let unanswered = outcomes
        .iter()
        .filter(|outcome| outcome.answer.is_none())
        .count();
    let breaks = if killed || died {
        vec![format!(
            "the dispatcher held {peak} KiB of its {} KiB and was killed; {unanswered} requests of usual clients got no answer",
            MEMORY_MB * 1024
        )]
    } else {
        Vec::new()
    };
    Ok(Finding {
        breaks,
        counted: format!(
            "{} requests of usual clients, {unanswered} without an answer; {answered} answers to requests with ids of {length} \
             letters; at most {peak} KiB held",
            outcomes.len()
        ),
    })
}

/// Sends one request after the other, each with a new id of this length. Returns how many were answered.
fn bad_client(
    client: usize,
    length: usize,
    address: std::net::SocketAddr,
    record: &crate::record::Record,
) -> usize {
    let mut answered = 0;
    let Ok(mut connection) = Connection::connect(address) else {
        return 0;
    };
    while record.now().as_secs_f64() < END {
        let id = format!("{client:02}-{answered:05}-{}", "x".repeat(length - 9));
        if connection
            .write(&request(id, Duration::from_secs(5)).bytes())
            .is_err()
        {
            break;
        }
        let Ok(answer) = connection.read(Some(Instant::now() + Duration::from_secs(6))) else {
            break;
        };
        answered += 1;
        if answered % 50 == 0 {
            record.line(&format!(
                "bad client {client}: {answered} requests answered, the last one {}",
                answer.status()
            ));
        }
    }
    answered
}

/// The platform: kills a dispatcher that holds more memory than its limit.
struct Platform {
    ended: Arc<AtomicBool>,
    watch: thread::JoinHandle<(bool, usize)>,
}

impl Platform {
    fn watch(dispatcher: &Dispatcher, run: &Run) -> Platform {
        let ended = Arc::new(AtomicBool::new(false));
        let (pid, record, until) = (dispatcher.pid(), run.record.clone(), ended.clone());
        let watch = thread::spawn(move || {
            let mut peak = 0;
            while !until.load(Ordering::SeqCst) {
                let held = anonymous_kib(pid);
                peak = peak.max(held);
                if held > MEMORY_MB * 1024 {
                    record.line(&format!(
                        "platform: n0 holds {held} KiB, more than {MEMORY_MB} MiB: killed"
                    ));
                    crate::dispatcher::kill_all();
                    return (true, peak);
                }
                thread::sleep(Duration::from_millis(20));
            }
            (false, peak)
        });
        Platform { ended, watch }
    }

    /// Whether it killed the dispatcher, and the most memory that this held, in KiB.
    fn end(self) -> (bool, usize) {
        self.ended.store(true, Ordering::SeqCst);
        self.watch.join().unwrap_or((false, 0))
    }
}

/// Anonymous memory of a process that is resident, without its program's file.
fn anonymous_kib(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or(0)
}
