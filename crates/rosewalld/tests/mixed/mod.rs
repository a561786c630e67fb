//! Dispatchers of the old shape, without talk, and of the new before the same workers.
use rosewall_cluster_testbed::stand::{
    Client, Daemon, Discovery, configuration, field, host, listen, message, request,
};
use std::io::{BufReader, Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const SEATS: usize = 2;
const WORK: Duration = Duration::from_millis(60);
/// Of what a cold worker can do: little, so that a budget not kept shows at this load.
const MULTIPLE: f64 = 1.5;

/// A worker with two seats, first come first served: when it was sent to, what it ran, how many have ended.
#[derive(Default)]
struct State {
    sent: Vec<Instant>,
    ran: Vec<String>,
    ended: usize,
    hangs: bool,
}

type Worker = Arc<(Mutex<State>, Condvar)>;

fn serve((state, news): &(Mutex<State>, Condvar), mut stream: &TcpStream) -> Option<()> {
    let id = field(&message(&mut BufReader::new(stream))?.0, "request-id")?;
    let mut now = state.lock().unwrap();
    now.sent.push(Instant::now());
    if now.hangs {
        drop(now);
        let _ = stream.read(&mut [0]);
        return None;
    }
    let turn = now.ran.len();
    now.ran.push(id.clone());
    drop(
        news.wait_while(now, |now| turn >= now.ended + SEATS)
            .unwrap(),
    );
    let chunk = |state: &str| {
        let line =
            format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n");
        format!("{:x}\r\n{line}\r\n", line.len())
    };
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let started = stream.write_all(format!("{head}{}", chunk("started")).as_bytes());
    sleep(WORK);
    state.lock().unwrap().ended += 1;
    news.notify_all();
    started
        .and_then(|()| stream.write_all(format!("{}0\r\n\r\n", chunk("done")).as_bytes()))
        .ok()
}

/// Asks one after the other for 7 s: whether each was served, and how long it took.
fn client(daemon: &Daemon, name: usize) -> Vec<(bool, f64)> {
    let (mut client, begin) = (Client::connect(&daemon.address), Instant::now());
    let ask = |n: usize| {
        sleep(Duration::from_millis(100 + 40 * (n as u64 % 4)));
        let (scheme, from) = (["thumb", "invoice", "charge"][n % 3], Instant::now());
        let hint = format!("Work-Hint: {}\r\n", WORK.as_micros());
        client.send(request(&format!("{name}-{scheme}-{n}"), scheme, 1.5, &hint, "").as_bytes());
        let status = client.answer().expect("a txn without an answer").status;
        (status == 200, from.elapsed().as_secs_f64())
    };
    (0..)
        .map(ask)
        .take_while(|_| begin.elapsed() < Duration::from_secs(7))
        .collect()
}

/// Of four dispatchers two are of each shape; of six workers one drains, one hangs and one starts cold. All is judged by the
/// workers' own counts and the clients' answers. Guards against a move in which one half breaks a rule that the other
/// keeps, or takes what the other waits for.
#[test_case(false, MULTIPLE; "well")]
#[test_case(true, MULTIPLE; "all messages lost")]
#[test_case(false, 400.0 => panics "a cold worker"; "the new shape keeps no budget, which has to show")]
fn old_and_new_shapes_share_workers(lost: bool, multiple: f64) {
    let workers: Vec<Worker> = (0..6).map(|_| Arc::default()).collect();
    let listen = |worker: &Worker| {
        let worker = worker.clone();
        listen(move |stream| serve(&worker, stream))
    };
    let dials: Vec<String> = workers.iter().map(listen).collect();
    let line =
        |at: usize, health: &str| host(["a", "b", "c", "d", "e", "f"][at], &dials[at], health);
    let discovery = Discovery::start((0..5).map(|at| line(at, "ready")).collect());
    let free = || {
        UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .to_string()
    };
    let peers: Vec<String> = (0..4).map(|_| free()).collect();
    let start = |me: usize| {
        let mut given = configuration(&discovery.address, 1024);
        let settings = &mut given["settings"];
        (settings["Me"], settings["Siblings"]) = (me.into(), 4.into());
        settings["Contract"]["ColdNs"] = 6_000_000_000_u64.into();
        settings["Contract"]["FallMultiple"] = [MULTIPLE, multiple][me % 2].into();
        if me % 2 == 1 {
            settings["Bounds"]["Peers"] = true.into();
            let address = |at: usize| {
                if lost && at != me {
                    free()
                } else {
                    peers[at].clone()
                }
            };
            let peers: Vec<String> = (0..4).map(address).collect();
            given["talk"] = serde_json::json!({"listen": peers[me], "peers": peers});
        }
        Daemon::start(&given)
    };
    let daemons: Vec<Daemon> = (0..4).map(start).collect();
    daemons.iter().for_each(Daemon::until_ready);
    let daemons = &daemons;
    let (drained, born, told) = thread::scope(|scope| {
        let clients: Vec<_> = (0..28)
            .map(|n| scope.spawn(move || client(&daemons[n % 4], n)))
            .collect();
        sleep(Duration::from_millis(1_000));
        workers[1].0.lock().unwrap().hangs = true;
        sleep(Duration::from_millis(1_000));
        discovery.tell(vec![line(0, "draining")]);
        let drained = Instant::now();
        workers[1].0.lock().unwrap().hangs = false;
        sleep(Duration::from_millis(500));
        let (mut cold, born) = (line(5, "ready"), Instant::now());
        cold["born_ms"] = (SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64)
            .into();
        discovery.tell(vec![cold]);
        let mut told = [Vec::new(), Vec::new()];
        clients
            .into_iter()
            .enumerate()
            .for_each(|(n, client)| told[n % 2].extend(client.join().unwrap()));
        (drained, born, told)
    });
    assert!(
        told.iter().flatten().all(|(_, took)| *took < 1.55),
        "an answer after its expiry"
    );
    let mut once: Vec<String> = workers
        .iter()
        .flat_map(|w| w.0.lock().unwrap().ran.clone())
        .collect();
    once.retain(|id| id.contains("charge"));
    once.sort();
    assert!(
        once.windows(2).all(|pair| pair[0] != pair[1]),
        "a once-only txn ran twice"
    );
    let late = drained + Duration::from_millis(550);
    assert!(
        workers[0]
            .0
            .lock()
            .unwrap()
            .sent
            .iter()
            .all(|at| *at < late),
        "sent to a worker that drains"
    );
    let cold = workers[5].0.lock().unwrap().sent.clone();
    for from in &cold {
        let window = cold
            .iter()
            .filter(|at| *at >= from && **at < *from + Duration::from_secs(1));
        let (work, since) = (
            window.count() as f64 * WORK.as_secs_f64(),
            (*from - born).as_secs_f64(),
        );
        let most = MULTIPLE * SEATS as f64 * (0.2 + 0.8 * since / 6.0);
        assert!(work <= most, "a cold worker got {work:.2} s of {most:.2}");
    }
    let mean = |told: &[(bool, f64)], of: fn(&(bool, f64)) -> f64| {
        told.iter().map(of).sum::<f64>() / told.len() as f64
    };
    let [old, new] = told.each_ref().map(|told| {
        (
            mean(told, |told| f64::from(told.0)),
            mean(told, |told| told.1),
        )
    });
    assert!(
        (old.0 - new.0).abs() < 0.1 && old.0.min(new.0) > 0.8,
        "served {old:?} {new:?}"
    );
    assert!((old.1 - new.1).abs() < 0.05, "took {old:?} {new:?}");
    let counts = [
        (1, "peer_loads_sent"),
        (1, "peer_loads_received"),
        (0, "peer_loads_sent"),
    ]
    .map(|(at, name)| daemons[at].counter(name));
    assert!(
        counts[0] > 0 && (counts[1] == 0) == lost && counts[2] == 0,
        "{counts:?}"
    );
}
