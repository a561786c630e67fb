//! Locks the behaviour of the engine and the protocols: given bytes from clients, workers and
//! discovery must lead to the same bytes and effects as when the digests were recorded.
//!
//! Effects enter the digest as bytes and numbers, so renaming a type or rewording a log line does
//! not change it. A digest may only change together with an intended change of behaviour, which the
//! commit states.
use rosewall::SettingsMap;
use rosewall::pcg::Pcg;
use rosewall::policy::Dispatcher;
use rosewall::types::{FleetPosition, Nanos, Outcome, PeerLoad, RequestId, WorkerId};
use rosewall_engine::counters::Counters;
use rosewall_engine::endpoints::EndpointTable;
use rosewall_engine::engine::{CachedListUse, Effect, Engine, Input, OutboundAttempt};
use rosewall_protocol::client::{ClientEvent, RequestReader, encode_answer, encode_response};
use rosewall_protocol::discovery::{
    EndpointListReader, Watch, decode_endpoint_list, encode_list_request,
};
use rosewall_protocol::http::CompleteResponse;
use rosewall_protocol::names::Names;
use rosewall_protocol::worker::{AttemptProgress, AttemptResponseReader};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::rc::Rc;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

const SETTINGS: &str = "me=3 attempts.max=4 retry_after.allowed=true retry_after.max=2000000000 start_notes=true \
    slow_start.from=0.2 slow_start.duration=6e9 overload.multiple=3 overload.window=1e9 endpoints.mode=polled report.fields= dispatchers=12 \
    peer_load.allowed=true class.count=3 \
    class.0.idempotency=idempotent class.0.retry_scope=all class.0.retry_window=0 class.0.latency_objective=3e8 class.0.priority_weight=1 \
    class.1.idempotency=idempotent-with-key class.1.retry_scope=zone class.1.retry_window=400000000 class.1.latency_objective=2e8 class.1.priority_weight=5 \
    class.2.idempotency=non-idempotent class.2.retry_scope=all class.2.retry_window=0 class.2.latency_objective=5e8 class.2.priority_weight=9";

fn settings(overrides: &str) -> SettingsMap {
    let text = format!("{SETTINGS} {overrides}");
    let pairs = text
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect()
}

fn names() -> Names {
    let words = |text: &str| text.split(',').map(str::to_string).collect();
    Names {
        classes: words("thumb,charge,mail"),
        tenants: words("acme,zeta"),
        zones: words("a,b,c"),
        worker_types: words("m1,m2"),
    }
}

fn below(rng: &mut Pcg, limit: u64) -> u64 {
    (rng.unit() * limit as f64) as u64
}

fn add_numbers(digest: &mut Sha256, numbers: &[u64]) {
    numbers
        .iter()
        .for_each(|number| digest.update(number.to_le_bytes()));
}

fn add_bytes(digest: &mut Sha256, bytes: &[u8]) {
    add_numbers(digest, &[bytes.len() as u64]);
    digest.update(bytes);
}

fn short(digest: Sha256) -> String {
    digest.finalize()[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn worker_number(id: &WorkerId) -> u64 {
    u64::from(u32::from_be_bytes(id.addr)) << 16 | u64::from(id.port)
}

fn outcome_number(outcome: Outcome) -> u64 {
    match outcome {
        Outcome::Succeeded => 1,
        Outcome::WorkerError => 2,
        Outcome::InvalidRequest => 3,
        Outcome::AtCapacity => 4,
        Outcome::TimedOut => 5,
        Outcome::ConnectFailed => 6,
        Outcome::ConnectionLost => 7,
        Outcome::Cancelled => 8,
        Outcome::NotSent => 9,
    }
}

fn add_attempt(digest: &mut Sha256, attempt: &OutboundAttempt) {
    let numbers = [
        2,
        u64::from(attempt.request_id),
        u64::from(attempt.attempt_index),
        worker_number(&attempt.worker),
        u64::from(attempt.address.port()),
    ];
    add_numbers(digest, &numbers);
    add_numbers(digest, &[attempt.connect_timeout]);
    add_bytes(digest, attempt.id.as_bytes());
    add_bytes(digest, attempt.message.bytes());
}

fn add_attempt_key(digest: &mut Sha256, tag: u64, request_id: RequestId, attempt_index: u8) {
    add_numbers(
        digest,
        &[tag, u64::from(request_id), u64::from(attempt_index)],
    );
}

fn add_load(digest: &mut Sha256, load: &PeerLoad) {
    let numbers = [
        u64::from(load.half_slots),
        u64::from(load.work_units),
        u64::from(load.speed_code),
    ];
    add_numbers(digest, &numbers);
}

fn add_list_requests(digest: &mut Sha256, version: u64) {
    let host = "10.2.0.1:8500";
    let watch = Watch {
        version,
        wait_ms: 5,
    };
    add_numbers(digest, &[11]);
    add_bytes(digest, &encode_list_request(host, None));
    add_bytes(digest, &encode_list_request(host, Some(watch)));
}

enum Step {
    Arrival,
    List,
    Timers,
    PeerLoad,
    FleetView,
    Disconnect(RequestId),
    Answer {
        request: RequestId,
        attempt: u8,
        bytes: Vec<u8>,
        closes: bool,
    },
    Stop,
}

/// Model of the clients, workers, discovery and peers of one engine, driven by one seed. Exchanges
/// encoded bytes where a protocol defines them.
struct Model {
    engine: Engine,
    names: Names,
    request_reader: RequestReader,
    response_readers: BTreeMap<(RequestId, u8), AttemptResponseReader>,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Step>,
    serial: u64,
    next_request: RequestId,
    list_number: u64,
    rng: Pcg,
    digest: Sha256,
    effects: u64,
}

impl Model {
    fn new(overrides: &str, seed: u64) -> Self {
        let dispatcher =
            Dispatcher::start(SECOND, seed, &settings(overrides)).expect("valid settings");
        let counters = Rc::new(Counters::default());
        let mut model = Model {
            engine: Engine::new(
                dispatcher,
                counters,
                250 * MILLISECOND,
                EndpointTable::default(),
                1,
            ),
            names: names(),
            request_reader: RequestReader::default(),
            response_readers: BTreeMap::new(),
            now: SECOND,
            queue: BTreeMap::new(),
            serial: 0,
            next_request: 0,
            list_number: 10,
            rng: Pcg::new(seed),
            digest: Sha256::new(),
            effects: 0,
        };
        let list = decode_endpoint_list(model.list_text(true).as_bytes(), &model.names)
            .expect("a valid list");
        let mut effects = Vec::new();
        let usage = CachedListUse::UntilChanged;
        model.engine.load_cached(SECOND, list, usage, &mut effects);
        model.execute(effects);
        model.push(0, Step::Timers);
        for (delay, next) in [
            (5, Step::Arrival),
            (400, Step::List),
            (30, Step::PeerLoad),
            (900, Step::FleetView),
            (14_000, Step::Stop),
        ] {
            model.push(delay * MILLISECOND, next);
        }
        model
    }

    fn below(&mut self, limit: u64) -> u64 {
        below(&mut self.rng, limit)
    }

    fn push(&mut self, delay: Nanos, next: Step) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), next);
    }

    fn handle_input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.engine.handle(self.now, input, &mut effects);
        self.execute(effects);
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.effects += 1;
            let now = self.now;
            add_numbers(&mut self.digest, &[now]);
            self.record(&effect);
            if let Effect::SendAttempt(attempt) = effect {
                self.schedule_response(
                    attempt.request_id,
                    attempt.attempt_index,
                    attempt.worker,
                    attempt.id,
                );
            }
        }
        if let Some(timer) = self.engine.next_timer() {
            self.push(timer.saturating_sub(self.now), Step::Timers);
        }
    }

    fn record(&mut self, effect: &Effect) {
        let keeps_open = self.effects.is_multiple_of(3);
        let digest = &mut self.digest;
        match effect {
            Effect::Answer { request_id, answer } => {
                add_numbers(digest, &[1, u64::from(*request_id)]);
                add_bytes(digest, &encode_answer(answer, keeps_open));
            }
            Effect::SendAttempt(attempt) => add_attempt(digest, attempt),
            Effect::CancelUnsent {
                request_id,
                attempt_index,
            } => add_attempt_key(digest, 3, *request_id, *attempt_index),
            Effect::AdvanceSendDeadline {
                request_id,
                attempt_index,
                send_by,
            } => {
                add_attempt_key(digest, 12, *request_id, *attempt_index);
                add_numbers(digest, &[*send_by]);
            }
            Effect::Abort {
                request_id,
                attempt_index,
            } => add_attempt_key(digest, 4, *request_id, *attempt_index),
            Effect::Finished {
                request_id,
                attempt_index,
            } => add_attempt_key(digest, 5, *request_id, *attempt_index),
            Effect::CheckHealth { worker, .. } => add_numbers(digest, &[6, worker_number(worker)]),
            Effect::EvictIdle { worker, address } => {
                let port = address.map_or(0, |address| u64::from(address.port()));
                add_numbers(digest, &[7, worker_number(worker), port]);
            }
            Effect::SendPeerLoad { to, load } => {
                add_numbers(digest, &[8, u64::from(*to), worker_number(&load.worker)]);
                add_load(digest, load);
            }
            Effect::RequestWarmUpGrant { worker, work } => {
                add_numbers(digest, &[9, worker_number(worker), *work])
            }
            Effect::SetWarmUpBudget {
                worker,
                work,
                window,
            } => {
                add_numbers(digest, &[10, worker_number(worker), *work, *window]);
            }
            Effect::WatchEndpoints => add_list_requests(digest, self.list_number),
        }
    }

    /// Schedules a worker's response to an attempt: complete, incomplete, malformed or an error.
    fn schedule_response(&mut self, request: RequestId, attempt: u8, worker: WorkerId, id: String) {
        self.response_readers
            .insert((request, attempt), AttemptResponseReader::new(id.clone()));
        let hung = worker.port % 7 == 3;
        let start = (1 + self.below(40)) * MILLISECOND;
        let run = (1 + self.below(250)) * MILLISECOND;
        let line = |state: &str| {
            let text =
                format!("{{\"id\":\"{id}\",\"state\":\"{state}\",\"result\":\"r{request}\"}}\n");
            format!("{:x}\r\n{text}\r\n", text.len())
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let first = format!("{head}{}", line("started"));
        let (second, closes) = match self.below(if hung { 8 } else { 60 }) {
            0 => (line("failed") + "0\r\n\r\n", false),
            1 => (line("returned") + "0\r\n\r\n", false),
            2 => (line("lost") + "0\r\n\r\n", true),
            3 => ("zz\r\n".to_string(), true),
            4 => (line("progress"), true),
            _ if hung => return,
            _ => (line("done") + "0\r\n\r\n", false),
        };
        let answer = |bytes: &str, closes: bool| Step::Answer {
            request,
            attempt,
            bytes: bytes.as_bytes().to_vec(),
            closes,
        };
        match self.below(50) {
            0 => {
                let busy = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
                self.push(start, answer(busy, false));
            }
            1 => {
                let invalid = "HTTP/1.1 422 No\r\nContent-Length: 2\r\n\r\nno";
                self.push(start, answer(invalid, true));
            }
            2 => self.push(start, answer("", true)),
            _ => {
                self.push(start, answer(&first, false));
                self.push(start + run, answer(&second, closes));
            }
        }
    }

    fn deliver_response(&mut self, request: RequestId, attempt: u8, bytes: &[u8], closes: bool) {
        let Some(mut reader) = self.response_readers.remove(&(request, attempt)) else {
            return;
        };
        let piece = 1 + self.below(40) as usize;
        let mut all_progress = Vec::new();
        for piece in bytes.chunks(piece) {
            reader.feed(piece);
            all_progress.extend(std::iter::from_fn(|| reader.next_progress()));
        }
        if closes {
            all_progress.extend(reader.connection_closed());
        }
        let flags = [
            u64::from(reader.is_finished()),
            u64::from(reader.is_reusable()),
        ];
        add_numbers(&mut self.digest, &flags);
        self.response_readers.insert((request, attempt), reader);
        for progress in all_progress {
            match &progress {
                AttemptProgress::Started => add_numbers(&mut self.digest, &[21]),
                AttemptProgress::Succeeded(result) => add_bytes(&mut self.digest, result),
                AttemptProgress::Ended(outcome) => {
                    add_numbers(&mut self.digest, &[22, outcome_number(*outcome)])
                }
            }
            self.handle_input(Input::AttemptProgress {
                request_id: request,
                attempt_index: attempt,
                progress,
            });
        }
    }

    fn send_request(&mut self) {
        let delay = self.below(30) * MILLISECOND;
        self.push(delay, Step::Arrival);
        let class = ["thumb", "charge", "mail", "none"]
            [self.below(40).min(3 * self.below(40)) as usize % 4];
        let number = self.below(4_000);
        let timeout = 0.05 + self.rng.unit() * 2.0;
        let mut text = format!(
            "POST /api/{number} HTTP/1.1\r\nRequest-Id: id{number}\r\nRequest-Class: {class}\r\nTenant: zeta\r\n\
             Request-Timeout: {timeout:.3}\r\nIdempotency-Key: k{number}\r\n"
        );
        if self.below(3) != 0 {
            text += &format!("Work-Hint: {}\r\n", 1_000 * (1 + self.below(200)));
        }
        if self.below(3) == 0 {
            text += &format!("Request-Info: slots={},memory=0.5\r\n", 1 + self.below(2));
        }
        text += match self.below(8) {
            0 => "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            1 => "Content-Length: 4\r\nExpect: 100-continue\r\n\r\nbody",
            2 => "Connection: close\r\n\r\n",
            3 => "Content-Length: 9999999\r\n\r\n",
            4 => "Content-Length: 4\r\n\r\nbodyGET /healthz HTTP/1.1\r\n\r\n",
            _ => "Content-Length: 4\r\n\r\nbody",
        };
        let mut bytes = text.into_bytes();
        if self.below(12) == 0 {
            let at = self.below(bytes.len() as u64) as usize;
            bytes[at] ^= 1 << self.below(8);
        }
        let piece = 1 + self.below(90) as usize;
        for piece in bytes.chunks(piece) {
            self.request_reader.feed(piece);
            while let Some(event) = self.request_reader.next_event(&self.names) {
                self.handle_client_event(event);
            }
        }
        let flags = [
            u64::from(self.request_reader.is_idle()),
            self.request_reader.buffered_bytes() as u64,
        ];
        add_numbers(&mut self.digest, &flags);
    }

    fn handle_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::ContinueExpected => add_numbers(&mut self.digest, &[31]),
            ClientEvent::ReadinessCheck { keep_alive } => {
                add_numbers(&mut self.digest, &[32, u64::from(keep_alive)])
            }
            ClientEvent::Invalid { status, reason } => {
                add_bytes(
                    &mut self.digest,
                    &encode_response(status, "", reason.as_bytes(), false),
                );
                self.request_reader = RequestReader::default();
            }
            ClientEvent::Request(request) => {
                self.next_request += 1;
                let request_id = self.next_request;
                if self.below(25) == 0 {
                    let delay = self.below(300) * MILLISECOND;
                    self.push(delay, Step::Disconnect(request_id));
                }
                self.handle_input(Input::RequestArrived {
                    request_id,
                    at: self.now,
                    request,
                });
            }
        }
    }

    fn list_text(&mut self, is_snapshot: bool) -> String {
        self.list_number += 1 + self.below(3);
        let number = self.list_number - 4 * u64::from(self.below(9) == 0);
        let mut hosts = Vec::new();
        for at in 0..14 {
            if !is_snapshot && self.below(3) != 0 {
                continue;
            }
            let health = match self.below(30) {
                0 => "draining",
                1 => "gone",
                2 => "unwell",
                _ => "ready",
            };
            let started_at_ms = if self.below(9) == 0 {
                self.now / MILLISECOND
            } else {
                0
            };
            let (site, class) = (["a", "b", "c", "d"][at % 4], ["m1", "m2"][at % 2]);
            hosts.push(format!(
                "{{\"host\":\"w{at}\",\"dial\":\"127.0.0.1:{}\",\"site\":\"{site}\",\"class\":\"{class}\",\
                 \"block\":{},\"health\":\"{health}\",\"share\":{},\"born_ms\":{started_at_ms}}}",
                9_000 + at,
                at % 5,
                1 + at % 3,
            ));
        }
        let hosts = if self.serial == 0 {
            hosts.join(",").replace("unwell", "ready")
        } else {
            hosts.join(",")
        };
        format!("{{\"seq\":{number},\"whole\":{is_snapshot},\"hosts\":[{hosts}]}}")
    }

    fn publish_list(&mut self) {
        let delay = (100 + self.below(800)) * MILLISECOND;
        self.push(delay, Step::List);
        let is_snapshot = self.below(4) == 0;
        let text = self.list_text(is_snapshot);
        let bytes = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )
        .into_bytes();
        let piece = 1 + self.below(200) as usize;
        let mut reader = EndpointListReader::default();
        for piece in bytes.chunks(piece) {
            if let Ok(Some(CompleteResponse {
                body: text,
                reusable,
            })) = reader.feed(piece)
            {
                add_numbers(&mut self.digest, &[41, u64::from(reusable)]);
                match decode_endpoint_list(&text, &self.names) {
                    Ok(list) => self.handle_input(Input::EndpointList(list)),
                    Err(_) => self.handle_input(Input::EndpointListFailed),
                }
            }
        }
    }

    fn send_peer_load(&mut self) {
        let delay = (5 + self.below(60)) * MILLISECOND;
        self.push(delay, Step::PeerLoad);
        let worker = rosewall_engine::endpoints::worker_id(&format!("w{}", self.below(14)));
        let load = PeerLoad {
            worker,
            half_slots: self.below(9) as u8,
            work_units: self.below(100) as u16,
            speed_code: 100 + self.below(50) as u8,
        };
        let from = self.below(12) as u16;
        self.handle_input(Input::PeerLoad { from, load });
    }

    fn update_fleet_view(&mut self) {
        let delay = (1 + self.below(4)) * SECOND;
        self.push(delay, Step::FleetView);
        let count = 8 + self.below(8) as u16;
        let view = (self.below(5) != 0).then_some(FleetPosition {
            rank: 3,
            dispatchers: count,
        });
        self.handle_input(Input::FleetView(view));
        if self.below(2) == 0 {
            let worker = rosewall_engine::endpoints::worker_id(&format!("w{}", self.below(14)));
            let until = self.now + SECOND;
            self.handle_input(Input::WarmUpGranted {
                worker,
                work: 90 * MILLISECOND,
                until,
            });
        }
    }

    fn run_timers(&mut self) {
        let mut effects = Vec::new();
        while self.engine.fire_next_timer(self.now, &mut effects) {}
        if !effects.is_empty() {
            self.execute(effects);
        } else if let Some(timer) = self.engine.next_timer().filter(|timer| *timer > self.now) {
            self.push(timer - self.now, Step::Timers);
        }
    }

    fn step(&mut self, next: Step) {
        match next {
            Step::Arrival => self.send_request(),
            Step::List => self.publish_list(),
            Step::Timers => self.run_timers(),
            Step::PeerLoad => self.send_peer_load(),
            Step::FleetView => self.update_fleet_view(),
            Step::Disconnect(request) => self.handle_input(Input::ClientDisconnected(request)),
            Step::Answer {
                request,
                attempt,
                bytes,
                closes,
            } => {
                self.deliver_response(request, attempt, &bytes, closes);
            }
            Step::Stop => self.handle_input(Input::ShutDown(self.now + 2 * SECOND)),
        }
    }

    fn run(mut self, end: Nanos) -> (u64, String) {
        while let Some(((at, _), next)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            // Timer steps scheduled for the same time are run once.
            if matches!(next, Step::Timers) {
                let same =
                    |key: &(Nanos, u64), next: &Step| key.0 == at && matches!(next, Step::Timers);
                while self
                    .queue
                    .first_key_value()
                    .is_some_and(|(key, next)| same(key, next))
                {
                    self.queue.pop_first();
                }
            }
            self.step(next);
        }
        (self.effects, short(self.digest))
    }
}

#[test_case("" =>
    "30819 effects, 407502b4c46c598e 3d329e8ff19d5edc 465e314bf967fd93 9bb263a8444b785a"; "twelve dispatchers that exchange load")]
#[test_case("dispatchers=1 me=0 peer_load.allowed=false" =>
    "7905 effects, dfb4da6096cad6b8 a210fc189f1762f2 005a531532c5e7d6 3ad0bb57667271f0"; "a single dispatcher")]
#[test_case("warm_up_grants=true endpoints.mode=pushed" =>
    "33625 effects, 552877f2eeb050fb ec1366f6b53d22ab abe7e42744fadfe5 41c4a7022f19c048"; "warm-up grants and a pushed list")]
fn effects_match_the_recorded_digests(overrides: &str) -> String {
    let runs = (0..4).map(|seed| Model::new(overrides, seed).run(18 * SECOND));
    let (effects, digests): (Vec<u64>, Vec<String>) = runs.unzip();
    format!(
        "{} effects, {}",
        effects.iter().sum::<u64>(),
        digests.join(" ")
    )
}
