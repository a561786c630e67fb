//! "Full" is no proof that a posting never ran.
use crate::client::{self, Request};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Setup};
use crate::settings::HUALIEN;
use crate::wire::{self, Action, Fields, Wire};
use crate::worker::{Behaviour, Log, Posting, Reply, Worker, AMPLE};
use crate::{Finding, Run};
use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const DISPATCHERS: usize = 2;
/// Workers by machine room; the first of each of the first two rooms sheds.
const ROOMS: [(&str, usize); 3] = [("meilun", 3), ("jian", 3), ("shoufeng", 2)];
/// Requests of each dispatcher, one every 250 ms.
const REQUESTS: usize = 60;
/// The time of the disruption.
const FROM: Duration = Duration::from_secs(4);
const TO: Duration = Duration::from_secs(14);

pub fn run(run: &Run) -> Result<Finding, String> {
    let record = &run.record;
    let log = Log::default();
    let discovery = Discovery::start("roster", record, 40);
    let mut workers = Vec::new();
    let mut entries = Vec::new();
    for (room, count) in ROOMS {
        for number in 0..count {
            let name = format!("w-{room}-{number}");
            let sheds = run.trouble && number == 0 && room != "shoufeng";
            let worker = Worker::start(&name, record, &log, AMPLE, behaviour(sheds));
            entries.push((name, worker.entry(room, 0, "ready")));
            workers.push((worker, room));
        }
    }
    let changes: Vec<(&str, String)> = entries
        .iter()
        .map(|(name, json)| (name.as_str(), json.clone()))
        .collect();
    discovery.set(&changes);
    let known = discovery.whole_list();
    let mut dispatchers = Vec::new();
    for me in 0..DISPATCHERS {
        let setup = Setup {
            name: &format!("n{me}"),
            discovery: discovery.address,
            known: &known,
            memory_mb: 192,
            settings: &HUALIEN.settings(me as u32),
        };
        dispatchers.push(Dispatcher::start(&run.folder, record, &setup)?);
    }
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        for (me, dispatcher) in dispatchers.iter().enumerate() {
            // A quarter of the requests are trail packs.
            let is_pack = number % 4 == 3;
            let request = Request {
                id: format!("r{me}-{number:03}"),
                class: if is_pack { "trail-pack" } else { "stop-play" },
                tenant: HUALIEN.tenant,
                timeout: Duration::from_secs(if is_pack { 25 } else { 5 }),
                run_ms: run_ms(is_pack, number),
                hints: true,
                body: "{}".into(),
            };
            let (record, address) = (record.clone(), dispatcher.address);
            clients.push(thread::spawn(move || {
                let patience = request.timeout + Duration::from_secs(1);
                client::send(&record, address, &request, patience)
            }));
        }
        thread::sleep(Duration::from_millis(250));
    }
    let outcomes: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    dispatchers.iter_mut().for_each(Dispatcher::end);

    let seen = log.lock().unwrap();
    let room_of: HashMap<&str, &str> = workers
        .iter()
        .map(|(worker, room)| (worker.name.as_str(), *room))
        .collect();
    let mut breaks = Vec::new();
    let mut twice = 0;
    for outcome in &outcomes {
        let id = &outcome.id;
        let Some(full_at) = seen.full_at.get(id) else {
            continue;
        };
        let postings: Vec<&Posting> = seen
            .postings
            .iter()
            .filter(|posting| posting.id == *id)
            .collect();
        let first = postings[0];
        for later in postings
            .iter()
            .skip(1)
            .filter(|posting| posting.first_byte >= *full_at)
        {
            if first.class == "stop-play" {
                let effects = seen.effects.get(id).copied().unwrap_or(0);
                twice += usize::from(effects > 1);
                breaks.push(format!(
                    "the once-only {id} was answered full by {} and then posted to {}; its effect took place {effects} times",
                    first.worker, later.worker
                ));
            } else if room_of[first.worker.as_str()] != room_of[later.worker.as_str()] {
                breaks.push(format!(
                    "the referenced {id} was answered full by {} and then posted to {}, in another machine room",
                    first.worker, later.worker
                ));
            }
        }
        if let Some((status @ (429 | 503), _)) = outcome.answer {
            breaks.push(format!(
                "{id} was answered full by {} and then declined ({status})",
                first.worker
            ));
        }
    }
    drop(seen);
    let on_the_wire = on_the_wire(run)?;
    breaks.extend(on_the_wire);
    let seen = log.lock().unwrap();
    let answered = |wanted: u16| {
        outcomes
            .iter()
            .filter(|o| o.answer.is_some_and(|(status, _)| status == wanted))
            .count()
    };
    Ok(Finding {
        breaks,
        counted: format!(
            "{} requests, {} answered 200, {} answered 502, {} answered 503; {} answered full by a worker, {twice} once-only ones ran twice",
            outcomes.len(),
            answered(200),
            answered(502),
            answered(503),
            seen.full_at.len()
        ),
    })
}

/// Settings of the deployment on the simulator's wire.
const WIRE_SETTINGS: &[(&str, &str)] = &[
    ("Bounds.Cancel", "true"),
    ("Bounds.ConnIdleNs", "10000000000"),
    ("Bounds.ConnectTimeoutNs", "250000000"),
    ("Bounds.MaxPostings", "2"),
    ("Bounds.MaxRetryAfterNs", "2000000000"),
    ("Bounds.Peers", "false"),
    ("Bounds.Probes", "true"),
    ("Bounds.RetryAfter", "true"),
    ("Bounds.SecondCopies", "false"),
    ("Contract.AnswerSlackNs", "8000000"),
    ("Contract.AskWithinNs", "10000000000"),
    ("Contract.ColdFrom", "0.13"),
    ("Contract.ColdNs", "17000000000"),
    ("Contract.ExtraFree", "1"),
    ("Contract.ExtraRatio", "0.1"),
    ("Contract.FallMultiple", "1.5"),
    ("Contract.FallNs", "1500000000"),
    ("Contract.MayShedBegun", "true"),
    ("Contract.ResendSpanNs", "5000000000"),
    ("Contract.StopSendingWithinNs", "500000000"),
    ("FamilyInfo.ClassKind", "-1,-1"),
    ("FamilyInfo.ClassStretch", "2.0,2.0"),
    ("FamilyInfo.QueueOrder", "fifo"),
    ("FamilyInfo.TellsStart", "true"),
    ("Kinds", "twin-fast,triple-std"),
    ("Me", "0"),
    ("MyZone", "0"),
    ("Prices.CrossZone", "0.021"),
    ("Prices.Probe", "0.002"),
    ("Prices.Waste", "0.15"),
    ("QuantumNs", "5000000"),
    ("RegistryMode", "on_request"),
    ("Report.Fields", ""),
    ("Report.How", "none"),
    ("Schemes.count", "2"),
    ("Schemes.0.ExpiryNs", "5000000000"),
    ("Schemes.0.Group", "all"),
    ("Schemes.0.Idempotency", "once"),
    ("Schemes.0.Name", "stop-play"),
    ("Schemes.0.SlaTimeNs", "150000000"),
    ("Schemes.0.TardyValue", "0.0"),
    ("Schemes.0.Value", "3.0"),
    ("Schemes.0.WindowNs", "5000000000"),
    ("Schemes.1.ExpiryNs", "25000000000"),
    ("Schemes.1.Group", "zone"),
    ("Schemes.1.Idempotency", "by_key"),
    ("Schemes.1.Name", "trail-pack"),
    ("Schemes.1.SlaTimeNs", "600000000"),
    ("Schemes.1.TardyValue", "0.0"),
    ("Schemes.1.Value", "5.0"),
    ("Schemes.1.WindowNs", "40000000000"),
    ("Siblings", "2"),
    ("ValueBasis", "work"),
    ("Weights", "nominal"),
    ("Zones", "meilun,jian,shoufeng"),
];

/// The same on the simulator's wire: three once-only requests, whose first posting ends with outcome 8 (full).
/// Returns what breaks the rule.
fn on_the_wire(run: &Run) -> Result<Vec<String>, String> {
    let record = &run.record;
    let mut wire = Wire::start(record)?;
    let failed = |error: std::io::Error| format!("the simulator's side: {error}");
    let worker = |number: u8| [10, 0, 0, number, 0x28, 0x23];
    let mut entries = Fields::default()
        .add(&1_u64.to_le_bytes())
        .add(&[2])
        .add(&8_u32.to_le_bytes());
    for number in 0..8_u8 {
        entries = entries
            .add(&[1])
            .add(&(u16::from(number) % 3).to_le_bytes())
            .add(&[0]);
        entries = entries
            .add(&1.0_f32.to_le_bytes())
            .add(&0_u64.to_le_bytes())
            .add(&0_u16.to_le_bytes());
        entries = entries.add(&worker(number));
    }
    let settings = wire::settings_lines(WIRE_SETTINGS);
    let create = Fields::default()
        .add(&0x8c1f_30d2_7a5b_e964_u64.to_le_bytes())
        .add(&(settings.len() as u32).to_le_bytes())
        .add(&settings);
    let clock = wire.clock();
    wire.batch(
        clock,
        &[(wire::CREATE, create), (wire::PEERS_KNOWN, entries)],
    )
    .map_err(failed)?;
    let mut breaks = Vec::new();
    for id in 1..=3_u32 {
        thread::sleep(Duration::from_millis(300));
        let clock = wire.clock();
        let request = Fields::default()
            .add(&id.to_le_bytes())
            .add(&300_000_000_u64.to_le_bytes())
            .add(&[0])
            .add(&0_u64.to_le_bytes())
            .add(&0_u16.to_le_bytes())
            .add(&(clock + 5_000_000_000).to_le_bytes())
            .add(&1_u16.to_le_bytes())
            .add(&1.0_f32.to_le_bytes())
            .add(&0.0_f32.to_le_bytes());
        let actions = wire.batch(clock, &[(wire::REQ, request)]).map_err(failed)?;
        let Some(sent) = actions.iter().find(|action| action.0 == wire::CALL_OUT) else {
            return Err("a request was not posted on the simulator's wire".to_string());
        };
        record.line(&format!("wire: once-only txn {id} was posted"));
        thread::sleep(Duration::from_millis(50));
        let outcome: u16 = if run.trouble { 8 } else { 0 };
        let end = Fields::default()
            .add(&id.to_le_bytes())
            .add(&[0])
            .add(&sent.1[4..10])
            .add(&outcome.to_le_bytes())
            .add(&50_000_000_u64.to_le_bytes())
            .add(&[u8::from(!run.trouble), 0, 0]);
        record.line(&format!(
            "wire: the posting of txn {id} ended with {outcome}"
        ));
        let clock = wire.clock();
        let actions = wire
            .batch(clock, &[(wire::ATTEMPT_END, end)])
            .map_err(failed)?;
        for action in actions
            .iter()
            .filter(|action| wire::request_of(action) == id)
        {
            let Some(name) = action_name(action) else {
                continue;
            };
            record.line(&format!("wire: reply for txn {id}: {name}"));
            if run.trouble && matches!(action.0, wire::CALL_OUT | wire::DECLINE) {
                breaks.push(format!("on the simulator's wire the once-only txn {id} ended with 8 (full) and got a {name}"));
            }
        }
    }
    Ok(breaks)
}

fn action_name(action: &Action) -> Option<&'static str> {
    match action.0 {
        wire::CALL_OUT => Some("call_out"),
        wire::DECLINE => Some("decline"),
        wire::SURRENDER => Some("surrender"),
        _ => None,
    }
}

/// Running time of a request: 220 to 430 ms for a stop, 1,300 to 2,600 ms for a pack.
fn run_ms(is_pack: bool, number: usize) -> u64 {
    let part = (number * 37 % 100) as u64;
    if is_pack {
        1300 + 13 * part
    } else {
        220 + 21 * part / 10
    }
}

/// A worker runs what it gets. One that sheds answers "full" for what it has begun.
fn behaviour(sheds: bool) -> Behaviour {
    Arc::new(move |posting| {
        if sheds && (FROM..TO).contains(&posting.last_byte) && posting.number == 1 {
            Reply::ShedBegun
        } else {
            Reply::Done
        }
    })
}
