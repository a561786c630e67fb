//! Open-loop clients: each txn is handed in at a moment that was fixed before, whatever came of those before it.
use crate::stand::request;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::pcg::Pcg;
use serde::Serialize;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What is asked of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Task starts a second, over all dispatchers.
    pub starts: f64,
    pub task: Duration,
    pub teams: usize,
    /// The part of the txns that is urgent.
    pub urgent: f64,
    /// Tasks that run from the beginning, each with what is left of it, handed in within `fill`.
    pub running: usize,
    pub fill: Duration,
    /// From there on, what is measured.
    pub measured: Duration,
    pub expiry: Duration,
    pub seed: u64,
}

/// How the txns that were meant to begin in the measured time ended; what is still out at the end is cut off with the play.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Asked {
    pub asked: u64,
    pub settled: u64,
    pub declined: u64,
    pub reversed: u64,
    pub other: u64,
    /// No connection, or one that ended without an answer.
    pub lost: u64,
    /// Meant for a dispatcher that was not running: its submitter has to wait.
    pub down: u64,
    /// Of all txns from the beginning on: those that came back settled, and otherwise.
    pub all_settled: u64,
    pub all_failed: u64,
}

/// Where clients reach each dispatcher, while it runs.
pub type Doors = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// An open connection, and to whom.
type Idle = (SocketAddr, Async<TcpStream>);

struct Clients {
    doors: Doors,
    /// Connections on which an answer has come.
    idle: RefCell<Vec<Vec<Idle>>>,
    asked: RefCell<Asked>,
}

struct Txn {
    at: usize,
    serial: u64,
    urgent: bool,
    team: usize,
    work: Duration,
    measured: bool,
}

impl Clients {
    /// Hands one in: the status, 0 where its dispatcher does not run, or none where no answer came.
    async fn ask(&self, txn: &Txn, expiry: Duration) -> Option<u16> {
        let Some(door) = self.doors.lock().ok()?.get(txn.at).copied().flatten() else {
            return Some(0);
        };
        let kept = self.idle.borrow_mut()[txn.at]
            .pop()
            .filter(|(address, _)| *address == door);
        let meant = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        let class = if txn.urgent {
            "urgent"
        } else {
            ["thumb", "invoice", "charge"][txn.serial as usize % 3]
        };
        let work = txn.work.as_micros();
        let body = format!(
            "{work} {meant} {}",
            if txn.urgent { "urgent" } else { "usual" }
        );
        let id = format!("d{}-{}", txn.at, txn.serial);
        let more = format!("Work-Hint: {work}\r\n");
        let text = request(&id, class, expiry.as_secs_f64(), &more, &body);
        let text = text.replacen("Tenant: acme", &format!("Tenant: t{}", txn.team), 1);
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => Async::<TcpStream>::connect(door).await.ok()?,
        };
        stream.write_all(text.as_bytes()).await.ok()?;
        let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
        let end = loop {
            if let Some(end) = crate::scale::child::message_end(&bytes) {
                break end;
            }
            let count = stream
                .read(&mut chunk)
                .await
                .ok()
                .filter(|count| *count > 0)?;
            bytes.extend_from_slice(&chunk[..count]);
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        if !head.contains("connection: close") {
            self.idle.borrow_mut()[txn.at].push((door, stream));
        }
        head.split(' ').nth(1)?.parse().ok()
    }

    fn ended(&self, txn: &Txn, status: Option<u16>) {
        let mut asked = self.asked.borrow_mut();
        if status == Some(200) {
            asked.all_settled += 1;
        } else {
            asked.all_failed += 1;
        }
        if !txn.measured {
            return;
        }
        match status {
            Some(200) => asked.settled += 1,
            Some(503 | 429) => asked.declined += 1,
            Some(502 | 504) => asked.reversed += 1,
            Some(0) => asked.down += 1,
            Some(_) => asked.other += 1,
            None => asked.lost += 1,
        }
    }
}

/// A team, of which the `n`th has a part like 1 over n.
fn team(chance: &mut Pcg, teams: usize) -> usize {
    let all: f64 = (1..=teams).map(|n| 1.0 / n as f64).sum();
    let mut left = chance.unit() * all;
    for n in 1..=teams {
        left -= 1.0 / n as f64;
        if left <= 0.0 {
            return n - 1;
        }
    }
    0
}

/// Plays the load, from its own beginning to the end of what is measured; `begun` is called as the measured time begins.
pub fn run(load: Load, doors: &Doors, begun: impl FnOnce()) -> Asked {
    let count = doors.lock().map(|doors| doors.len()).unwrap_or(0);
    let ex = Rc::new(LocalExecutor::new());
    let idle = RefCell::new((0..count).map(|_| Vec::new()).collect());
    let clients = Rc::new(Clients {
        doors: doors.clone(),
        idle,
        asked: RefCell::default(),
    });
    let mut chance = Pcg::new(load.seed);
    let begin = Instant::now();
    let (mut serial, mut planned) = (0, Vec::new());
    let mut plan = |at: Duration, work: f64, measured: bool, chance: &mut Pcg| {
        serial += 1;
        let urgent = chance.unit() < load.urgent;
        let (place, team) = (
            (chance.unit() * count as f64) as usize,
            team(chance, load.teams.max(1)),
        );
        let work = load.task.mul_f64(work);
        planned.push((
            at,
            Txn {
                at: place.min(count.saturating_sub(1)),
                serial,
                urgent,
                team,
                work,
                measured,
            },
        ));
    };
    for n in 0..load.running {
        // What is left of a task that runs at a moment drawn at random is even over its length.
        plan(
            load.fill.mul_f64(n as f64 / load.running as f64),
            chance.unit().max(0.01),
            false,
            &mut chance,
        );
    }
    let mut at = load.fill.as_secs_f64() * f64::from(u8::from(load.running > 0));
    let end = at + load.measured.as_secs_f64();
    let begins = at;
    if load.starts > 0.0 {
        loop {
            at += -(1.0 - chance.unit()).ln() / load.starts;
            if at >= end {
                break;
            }
            plan(
                Duration::from_secs_f64(at),
                0.5 + chance.unit(),
                true,
                &mut chance,
            );
        }
    }
    let (hands, own) = (clients.clone(), ex.clone());
    let handing = async move {
        for (at, txn) in planned {
            Timer::at(begin + at).await;
            let clients = hands.clone();
            if txn.measured {
                clients.asked.borrow_mut().asked += 1;
            }
            let asking = async move {
                let status = clients.ask(&txn, load.expiry).await;
                clients.ended(&txn, status);
            };
            own.spawn(asking).detach();
        }
        // The rest of the time, as txns are answered.
        std::future::pending::<()>().await;
    };
    let playing = async {
        Timer::at(begin + Duration::from_secs_f64(begins)).await;
        begun();
        Timer::at(begin + Duration::from_secs_f64(end)).await;
    };
    async_io::block_on(ex.run(playing.or(handing)));
    let asked = *clients.asked.borrow();
    // Tasks hold the clients; they end with the executor.
    drop(ex);
    asked
}
