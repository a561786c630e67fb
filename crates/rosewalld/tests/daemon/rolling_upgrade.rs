//! Rolling upgrade: dispatchers with and without load reports share the same workers.
use rosewall_cluster_testbed::stubs::{
    Client, Daemon, Discovery, configuration, endpoint_json, header_field, listen, read_message,
    request,
};
use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const SLOTS: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Warm-up budget as a multiple of a worker's capacity, low enough for this load to reveal an exceeded budget.
const WARM_UP_MULTIPLE: f64 = 1.5;
const WARM_UP: Duration = Duration::from_secs(6);
const DISPATCHERS: usize = 4;
const CLIENTS: usize = 28;
const CLIENT_RUN_TIME: Duration = Duration::from_secs(7);
/// Indices of the workers that drain, hang and warm up.
const DRAINING: usize = 0;
const HANGING: usize = 1;
const WARMING: usize = 5;

/// State of a worker with [`SLOTS`] concurrency slots and a queue.
#[derive(Default)]
struct WorkerState {
    received_at: Vec<Instant>,
    started_ids: Vec<String>,
    ended: usize,
    /// Whether new requests are received and never answered.
    hangs: bool,
}

type Worker = Arc<(Mutex<WorkerState>, Condvar)>;

fn serve((state, changed): &(Mutex<WorkerState>, Condvar), mut stream: &TcpStream) -> Option<()> {
    let id = header_field(&read_message(&mut BufReader::new(stream))?.0, "request-id")?;
    let mut locked = state.lock().unwrap();
    locked.received_at.push(Instant::now());
    if locked.hangs {
        drop(locked);
        let _ = stream.read(&mut [0]);
        return None;
    }
    let position = locked.started_ids.len();
    locked.started_ids.push(id.clone());
    drop(
        changed
            .wait_while(locked, |state| position >= state.ended + SLOTS)
            .unwrap(),
    );
    let chunk = |state: &str| {
        let line =
            format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n");
        format!("{:x}\r\n{line}\r\n", line.len())
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let started = stream.write_all(format!("{head}{}", chunk("started")).as_bytes());
    sleep(SERVICE_TIME);
    state.lock().unwrap().ended += 1;
    changed.notify_all();
    started
        .and_then(|()| stream.write_all(format!("{}0\r\n\r\n", chunk("done")).as_bytes()))
        .ok()
}

/// Result of one request at its client.
struct RequestResult {
    succeeded: bool,
    seconds: f64,
}

/// Sends requests one after another for [`CLIENT_RUN_TIME`] and returns their results.
fn run_client(daemon: &Daemon, name: usize) -> Vec<RequestResult> {
    let mut client = Client::connect(&daemon.address);
    let started_at = Instant::now();
    let exchange = |n: usize| {
        sleep(Duration::from_millis(100 + 40 * (n as u64 % 4)));
        let class = ["thumb", "invoice", "charge"][n % 3];
        let sent_at = Instant::now();
        let hint = format!("Work-Hint: {}\r\n", SERVICE_TIME.as_micros());
        client.send(request(&format!("{name}-{class}-{n}"), class, 1.5, &hint, "").as_bytes());
        let status = client.read_response().expect("request not answered").status;
        RequestResult {
            succeeded: status == 200,
            seconds: sent_at.elapsed().as_secs_f64(),
        }
    };
    (0..)
        .map(exchange)
        .take_while(|_| started_at.elapsed() < CLIENT_RUN_TIME)
        .collect()
}

fn free_address() -> String {
    UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

/// Differences of the upgraded dispatchers, which have odd numbers.
#[derive(Clone, Copy)]
struct Upgraded {
    /// Load reports are sent to addresses without a receiver.
    loses_reports: bool,
    warm_up_multiple: f64,
}

fn start_dispatcher(
    number: usize,
    discovery: &str,
    peers: &[String],
    upgraded: Upgraded,
) -> Daemon {
    let is_upgraded = number % 2 == 1;
    let mut config = configuration(discovery, 1024);
    let settings = &mut config["settings"];
    settings["Me"] = number.into();
    settings["Siblings"] = DISPATCHERS.into();
    settings["Contract"]["ColdNs"] = (WARM_UP.as_nanos() as u64).into();
    settings["Contract"]["FallMultiple"] = if is_upgraded {
        upgraded.warm_up_multiple.into()
    } else {
        WARM_UP_MULTIPLE.into()
    };
    if is_upgraded {
        settings["Bounds"]["Peers"] = true.into();
        let address = |at: usize| {
            if upgraded.loses_reports && at != number {
                free_address()
            } else {
                peers[at].clone()
            }
        };
        let peers: Vec<String> = (0..DISPATCHERS).map(address).collect();
        config["talk"] = serde_json::json!({"listen": peers[number], "peers": peers});
    }
    Daemon::start(&config)
}

/// Times of the changes and results of the requests of one run.
struct Run {
    drained_at: Instant,
    /// Time at which the worker that warms up joined the list.
    joined_at: Instant,
    /// Results at dispatchers without load reports, then at those with them.
    results: [Vec<RequestResult>; 2],
}

/// Runs clients while one worker hangs, one drains and one joins.
fn run_with_changes(
    daemons: &[Daemon],
    workers: &[Worker],
    discovery: &Discovery,
    endpoint: impl Fn(usize, &str) -> Value,
) -> Run {
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| scope.spawn(move || run_client(&daemons[n % DISPATCHERS], n)))
            .collect();
        sleep(Duration::from_millis(1_000));
        workers[HANGING].0.lock().unwrap().hangs = true;
        sleep(Duration::from_millis(1_000));
        discovery.publish_changes(vec![endpoint(DRAINING, "draining")]);
        let drained_at = Instant::now();
        workers[HANGING].0.lock().unwrap().hangs = false;
        sleep(Duration::from_millis(500));
        let mut warming = endpoint(WARMING, "ready");
        let joined_at = Instant::now();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        warming["born_ms"] = (unix_time.as_millis() as u64).into();
        discovery.publish_changes(vec![warming]);
        let mut results = [Vec::new(), Vec::new()];
        for (n, client) in clients.into_iter().enumerate() {
            results[n % 2].extend(client.join().unwrap());
        }
        Run {
            drained_at,
            joined_at,
            results,
        }
    })
}

fn assert_answers_come_in_time(run: &Run) {
    assert!(
        run.results
            .iter()
            .flatten()
            .all(|result| result.seconds < 1.55),
        "an answer after its deadline"
    );
}

fn assert_non_idempotent_requests_run_once(workers: &[Worker]) {
    let mut ids: Vec<String> = workers
        .iter()
        .flat_map(|worker| worker.0.lock().unwrap().started_ids.clone())
        .collect();
    ids.retain(|id| id.contains("charge"));
    ids.sort();
    assert!(
        ids.windows(2).all(|pair| pair[0] != pair[1]),
        "a non-idempotent request ran twice"
    );
}

fn assert_nothing_is_sent_after_the_drain(worker: &Worker, drained_at: Instant) {
    let noticed_by = drained_at + Duration::from_millis(550);
    let state = worker.0.lock().unwrap();
    assert!(
        state.received_at.iter().all(|at| *at < noticed_by),
        "request sent to a draining worker"
    );
}

fn assert_warm_up_budget_is_kept(worker: &Worker, joined_at: Instant) {
    let received_at = worker.0.lock().unwrap().received_at.clone();
    for from in &received_at {
        let window = received_at
            .iter()
            .filter(|at| *at >= from && **at < *from + Duration::from_secs(1));
        let work = window.count() as f64 * SERVICE_TIME.as_secs_f64();
        let age = (*from - joined_at).as_secs_f64();
        let budget = WARM_UP_MULTIPLE * SLOTS as f64 * (0.2 + 0.8 * age / WARM_UP.as_secs_f64());
        assert!(
            work <= budget,
            "a warming worker received {work:.2} s of work, over its budget of {budget:.2} s"
        );
    }
}

fn assert_dispatchers_serve_alike_with_and_without_load_reports(run: &Run) {
    let mean = |results: &[RequestResult], of: fn(&RequestResult) -> f64| {
        results.iter().map(of).sum::<f64>() / results.len() as f64
    };
    let [old_served, new_served] = run
        .results
        .each_ref()
        .map(|results| mean(results, |result| f64::from(result.succeeded)));
    let [old_seconds, new_seconds] = run
        .results
        .each_ref()
        .map(|results| mean(results, |result| result.seconds));
    assert!(
        (old_served - new_served).abs() < 0.1 && old_served.min(new_served) > 0.8,
        "share served: {old_served} without load reports, {new_served} with them"
    );
    assert!(
        (old_seconds - new_seconds).abs() < 0.05,
        "mean seconds: {old_seconds} without load reports, {new_seconds} with them"
    );
}

fn assert_load_reports_are_exchanged(daemons: &[Daemon], loses_reports: bool) {
    let old_sent = daemons[0].counter("peer_loads_sent");
    let new_sent = daemons[1].counter("peer_loads_sent");
    let new_received = daemons[1].counter("peer_loads_received");
    assert!(
        new_sent > 0 && (new_received == 0) == loses_reports && old_sent == 0,
        "upgraded: {new_sent} sent, {new_received} received; not upgraded: {old_sent} sent"
    );
}

/// Half of the dispatchers exchange load reports; of six workers one drains, one hangs and one joins. A mixed fleet must keep
/// all rules, and neither half may be served at the cost of the other.
#[test_case(false, WARM_UP_MULTIPLE; "reports arrive")]
#[test_case(true, WARM_UP_MULTIPLE; "all reports lost")]
#[test_case(false, 400.0 => panics "a warming worker"; "an upgraded half that exceeds the budget is found")]
fn dispatchers_with_and_without_load_reports_share_workers(
    loses_reports: bool,
    warm_up_multiple: f64,
) {
    let workers: Vec<Worker> = (0..6).map(|_| Arc::default()).collect();
    let listen = |worker: &Worker| {
        let worker = worker.clone();
        listen(move |stream| serve(&worker, stream))
    };
    let dials: Vec<String> = workers.iter().map(listen).collect();
    let endpoint = |at: usize, health: &str| {
        endpoint_json(["a", "b", "c", "d", "e", "f"][at], &dials[at], health)
    };
    let discovery = Discovery::start((0..WARMING).map(|at| endpoint(at, "ready")).collect());
    let peers: Vec<String> = (0..DISPATCHERS).map(|_| free_address()).collect();
    let upgraded = Upgraded {
        loses_reports,
        warm_up_multiple,
    };
    let daemons: Vec<Daemon> = (0..DISPATCHERS)
        .map(|number| start_dispatcher(number, &discovery.address, &peers, upgraded))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);

    let run = run_with_changes(&daemons, &workers, &discovery, endpoint);

    assert_answers_come_in_time(&run);
    assert_non_idempotent_requests_run_once(&workers);
    assert_nothing_is_sent_after_the_drain(&workers[DRAINING], run.drained_at);
    assert_warm_up_budget_is_kept(&workers[WARMING], run.joined_at);
    assert_dispatchers_serve_alike_with_and_without_load_reports(&run);
    assert_load_reports_are_exchanged(&daemons, loses_reports);
}
