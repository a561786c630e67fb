//! Regression test of the decisions: seeded event streams must produce exactly the actions that
//! produced the recorded digests.
//!
//! Actions enter a digest as numbers, so renaming a type or rewording a log line cannot change it. A
//! digest may only change together with an intended change of behaviour, which the commit states.
use rosewall::SettingsMap;
use rosewall::pcg::Pcg;
use rosewall::policy::Dispatcher;
use rosewall::types::{
    Action, AttemptEnded, Endpoint, EndpointState, Event, FleetPosition, ListScope, Nanos, Outcome,
    PeerLoad, Report, Request, RequestId, WorkerId,
};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

const BASE_SETTINGS: &str = "me=3 attempts.max=4 retry_after.allowed=true retry_after.max=2e9 start_notes=true \
    slow_start.from=0.2 slow_start.duration=6e9 overload.multiple=3 overload.window=1e9 endpoints.mode=polled report.fields=inflight,free-slots \
    class.count=4 \
    class.0.idempotency=idempotent class.0.retry_scope=all class.0.retry_window=0 class.0.latency_objective=3e8 class.0.priority_weight=1 \
    class.1.idempotency=idempotent-with-key class.1.retry_scope=zone class.1.retry_window=400000000 class.1.latency_objective=2e8 class.1.priority_weight=5 \
    class.2.idempotency=non-idempotent class.2.retry_scope=all class.2.retry_window=0 class.2.latency_objective=5e8 class.2.priority_weight=9 class.2.worker_type=1 \
    class.3.idempotency=idempotent-with-key class.3.retry_scope=cell class.3.retry_window=900000000 class.3.latency_objective=1e9 class.3.priority_weight=2 \
    class.0.objective_stretch=2 class.1.objective_stretch=2";

/// Returns the base settings with some of them overridden.
fn settings(overrides: &str) -> SettingsMap {
    let text = format!("{BASE_SETTINGS} {overrides}");
    let pairs = text
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect()
}

/// Step of the environment model.
enum Step {
    Arrival,
    ListChange,
    PeerLoad,
    FleetView,
    Timer(u64),
    Start {
        request: RequestId,
        attempt: u8,
    },
    End {
        request: RequestId,
        attempt: u8,
        worker: WorkerId,
    },
    Disconnect(RequestId),
    PollAnswer,
    Grant {
        worker: WorkerId,
        work: Nanos,
    },
    Restart,
    Stop,
}

/// Model of clients, workers, discovery and peers, driven by one seed.
struct Model {
    settings: SettingsMap,
    dispatcher: Dispatcher,
    rng: Pcg,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Step>,
    serial: u64,
    workers: Vec<Endpoint>,
    attempts: BTreeMap<RequestId, u8>,
    next_request: RequestId,
    digest: Sha256,
    actions: u64,
}

impl Model {
    fn new(settings: SettingsMap, seed: u64) -> Self {
        let dispatcher = Dispatcher::start(SECOND, seed, &settings).expect("valid settings");
        let mut model = Model {
            settings,
            dispatcher,
            rng: Pcg::new(seed),
            now: SECOND,
            queue: BTreeMap::new(),
            serial: 0,
            workers: Vec::new(),
            attempts: BTreeMap::new(),
            next_request: 0,
            digest: Sha256::new(),
            actions: 0,
        };
        let count = 6 + model.below(30);
        model.workers = (0..count)
            .map(|number| model.worker(number as u8, 0))
            .collect();
        for (delay, step) in [
            (10, Step::Arrival),
            (700, Step::ListChange),
            (30, Step::PeerLoad),
            (2_000, Step::FleetView),
            (11_000, Step::Restart),
            (27_000, Step::Stop),
        ] {
            model.push(delay * MILLISECOND, step);
        }
        model.send_list(ListScope::Cached);
        model
    }

    fn below(&mut self, limit: u64) -> u64 {
        (self.rng.unit() * limit as f64) as u64
    }

    fn push(&mut self, delay: Nanos, step: Step) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), step);
    }

    fn worker(&mut self, number: u8, started: Nanos) -> Endpoint {
        Endpoint {
            worker: WorkerId {
                addr: [10, 0, number / 8, number],
                port: 80,
            },
            state: EndpointState::Ready,
            zone: u16::from(number % 3),
            worker_type: number % 2,
            size: 1.0 + f32::from(number % 4) / 2.0,
            started,
            group: u16::from(number % 5),
        }
    }

    fn send_list(&mut self, scope: ListScope) {
        let endpoints = if scope == ListScope::Failed {
            Vec::new()
        } else {
            self.workers.clone()
        };
        self.handle_event(Event::EndpointList { scope, endpoints });
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.execute(action);
        }
    }

    fn hash_numbers(&mut self, numbers: &[u64]) {
        numbers
            .iter()
            .for_each(|number| self.digest.update(number.to_le_bytes()));
    }

    fn record(&mut self, action: &Action) {
        self.actions += 1;
        let worker =
            |id: &WorkerId| u64::from(u32::from_be_bytes(id.addr)) << 16 | u64::from(id.port);
        let load_numbers = |load: &PeerLoad| {
            [
                worker(&load.worker),
                u64::from(load.half_slots),
                u64::from(load.work_units),
                u64::from(load.speed_code),
            ]
        };
        let now = self.now;
        match action {
            Action::SendAttempt {
                request_id,
                worker: id,
                ..
            } => self.hash_numbers(&[now, 1, u64::from(*request_id), worker(id)]),
            Action::CheckHealth { worker: id } => self.hash_numbers(&[now, 2, worker(id)]),
            Action::Reject {
                request_id,
                retry_after,
            } => self.hash_numbers(&[now, 3, u64::from(*request_id), *retry_after]),
            Action::Fail { request_id } => self.hash_numbers(&[now, 4, u64::from(*request_id)]),
            Action::WatchEndpoints => self.hash_numbers(&[now, 5]),
            Action::SendPeerLoad { to, load } => {
                self.hash_numbers(&[now, 6, u64::from(*to)]);
                self.hash_numbers(&load_numbers(load));
            }
            Action::RequestWarmUpGrant { worker: id, work } => {
                self.hash_numbers(&[now, 7, worker(id), *work])
            }
            Action::SetWarmUpBudget {
                worker: id,
                work,
                window,
            } => {
                self.hash_numbers(&[now, 8, worker(id), *work, *window]);
            }
            Action::SetTimer { at, token } => self.hash_numbers(&[now, 9, *at, *token]),
            Action::Log(_) => self.hash_numbers(&[now, 10]),
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::SendAttempt {
                request_id, worker, ..
            } => self.send_attempt(request_id, worker),
            Action::SetTimer { at, token } => {
                self.push(at.saturating_sub(self.now), Step::Timer(token))
            }
            Action::WatchEndpoints => self.push(80 * MILLISECOND, Step::PollAnswer),
            Action::RequestWarmUpGrant { worker, work } => {
                let delay = 1 + self.below(8);
                self.push(delay * MILLISECOND, Step::Grant { worker, work });
            }
            _ => {}
        }
    }

    fn send_attempt(&mut self, request: RequestId, worker: WorkerId) {
        let attempt = self.attempts.entry(request).or_insert(0);
        let number = *attempt;
        *attempt += 1;
        let hung = worker.addr[3] % 11 == 7;
        let start = (1 + self.below(60)) * MILLISECOND;
        let run = (2 + self.below(300)) * MILLISECOND;
        if !hung && self.below(12) != 0 {
            self.push(
                start,
                Step::Start {
                    request,
                    attempt: number,
                },
            );
        }
        let end = if hung { 2 * SECOND } else { start + run };
        self.push(
            end,
            Step::End {
                request,
                attempt: number,
                worker,
            },
        );
    }

    fn add_request(&mut self) {
        let burst = self.now / (5 * SECOND) % 3 == 1;
        let gap = if burst { 4 } else { 40 };
        let delay = (self.rng.unit() * gap as f64 * MILLISECOND as f64) as Nanos;
        self.push(delay, Step::Arrival);
        self.next_request += 1;
        let id = self.next_request;
        let class = self.below(4) as u8 + u8::from(self.below(200) == 0);
        let work = (1 + self.below(20) * self.below(20)) * MILLISECOND;
        let hint = (class != 1 && self.below(4) != 0).then_some(work);
        let slots = 1.0 + self.below(3) as f32 / 2.0;
        let memory = self.below(8) as f32 / 2.0;
        let deadline = self.now + (100 + self.below(2_500)) * MILLISECOND;
        if self.below(25) == 0 {
            let delay = (1 + self.below(400)) * MILLISECOND;
            self.push(delay, Step::Disconnect(id));
        }
        self.handle_event(Event::RequestArrived(Request {
            id,
            class,
            tenant: 0,
            hint,
            slots,
            memory,
            deadline,
        }));
    }

    fn change_list(&mut self) {
        let delay = (200 + self.below(900)) * MILLISECOND;
        self.push(delay, Step::ListChange);
        let index = self.below(self.workers.len() as u64) as usize;
        match self.below(6) {
            0 => self.workers[index].state = EndpointState::Draining,
            1 => self.workers[index].state = EndpointState::Removed,
            2 | 3 => {
                let started = self.now - self.below(SECOND);
                self.workers[index].started = started;
                self.workers[index].state = EndpointState::Ready;
            }
            4 if self.workers.len() < 60 => {
                let added = self.worker(100 + self.workers.len() as u8, self.now);
                self.workers.push(added);
            }
            _ => self.workers[index].state = EndpointState::Ready,
        }
        let scope = match self.below(5) {
            0 => ListScope::Snapshot,
            1 => ListScope::Failed,
            _ => ListScope::Delta,
        };
        self.send_list(scope);
    }

    fn add_peer_load(&mut self) {
        let delay = (5 + self.below(60)) * MILLISECOND;
        self.push(delay, Step::PeerLoad);
        let index = self.below(self.workers.len() as u64) as usize;
        let load = PeerLoad {
            worker: self.workers[index].worker,
            half_slots: self.below(12) as u8,
            work_units: self.below(200) as u16,
            speed_code: if self.below(10) == 0 {
                self.below(3) as u8
            } else {
                100 + self.below(60) as u8
            },
        };
        let from = self.below(12) as u16;
        self.handle_event(Event::PeerLoad { from, load });
    }

    fn change_fleet_view(&mut self) {
        let delay = (1 + self.below(4)) * SECOND;
        self.push(delay, Step::FleetView);
        let count = 4 + self.below(30) as u16;
        let rank = self.below(u64::from(count)) as u16;
        let view = (self.below(6) != 0).then_some(FleetPosition {
            rank,
            dispatchers: count,
        });
        self.handle_event(Event::FleetView(view));
    }

    fn report(&mut self) -> Report {
        let mut values = [0.0; 4];
        for value in &mut values {
            *value = match self.below(40) {
                0 => f32::NAN,
                1 => -3.0,
                2 => 1e9,
                number => number as f32 / 5.0,
            };
        }
        Report {
            count: self.below(4) as usize,
            values,
        }
    }

    fn outcome(&mut self, worker: WorkerId) -> Outcome {
        let faulty = worker.addr[3] % 9 == 4;
        if worker.addr[3] % 11 == 7 {
            return Outcome::TimedOut;
        }
        match self.below(if faulty { 16 } else { 90 }) {
            0 => Outcome::WorkerError,
            1 => Outcome::InvalidRequest,
            2 => Outcome::AtCapacity,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::ConnectionLost,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            _ => Outcome::Succeeded,
        }
    }

    fn end_attempt(&mut self, request: RequestId, attempt: u8, worker: WorkerId) {
        let outcome = self.outcome(worker);
        let complete = outcome == Outcome::Succeeded;
        let report = self.report();
        self.handle_event(Event::AttemptEnded(AttemptEnded {
            request_id: request,
            attempt_index: attempt,
            outcome,
            complete,
            report,
        }));
    }

    /// Starts a new process of the same dispatcher, with the endpoint list of the previous process.
    fn restart(&mut self) {
        let seed = self.below(1 << 40);
        self.dispatcher =
            Dispatcher::start(self.now, seed, &self.settings).expect("valid settings");
        self.queue.retain(|_, step| {
            !matches!(
                step,
                Step::Timer(_) | Step::Start { .. } | Step::End { .. } | Step::Disconnect(_)
            )
        });
        self.attempts.clear();
        self.send_list(ListScope::Cached);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.add_request(),
            Step::ListChange => self.change_list(),
            Step::PeerLoad => self.add_peer_load(),
            Step::FleetView => self.change_fleet_view(),
            Step::Timer(token) => self.handle_event(Event::TimerFired { token }),
            Step::Start { request, attempt } => self.handle_event(Event::AttemptStarted {
                request_id: request,
                attempt_index: attempt,
            }),
            Step::End {
                request,
                attempt,
                worker,
            } => self.end_attempt(request, attempt, worker),
            Step::Disconnect(request) if request % 2 == 0 => {
                self.handle_event(Event::ClientDisconnected {
                    request_id: request,
                });
            }
            Step::Disconnect(request) => self.handle_event(Event::StreamStarted {
                request_id: request,
            }),
            Step::PollAnswer => {
                let scope = if self.below(3) == 0 {
                    ListScope::Failed
                } else {
                    ListScope::Snapshot
                };
                self.send_list(scope);
            }
            Step::Grant { worker, work } => {
                let until = self.now + 500 * MILLISECOND;
                self.handle_event(Event::WarmUpGranted {
                    worker,
                    work,
                    until,
                });
            }
            Step::Restart => self.restart(),
            Step::Stop => {
                let by = self.now + 2 * SECOND;
                self.handle_event(Event::ShuttingDown { by });
            }
        }
    }

    /// Runs the model until the given time. Returns the number of actions and their digest.
    fn run(mut self, until: Nanos) -> (u64, String) {
        while let Some(((at, _), step)) = self.queue.pop_first() {
            if at > until {
                break;
            }
            self.now = at;
            self.step(step);
        }
        let digest = self.digest.finalize();
        (
            self.actions,
            digest[..8]
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect(),
        )
    }
}

#[test_case("dispatchers=1 me=0" =>
    "111701 actions, 47177df426224fe0 457de5ac50ae5957 e1382cb47a57b0d1 5cb5eb3e993f6ee2 2c6b917a1ca3fb86 324194e172b1347b"; "a single dispatcher")]
#[test_case("dispatchers=5" =>
    "112551 actions, d3f3256f6fff19c8 072f5a4d4feddea0 cb97d93761cd0aed 4a471398cfa06c2b 04475a45f7f07031 4a6e0c82bae952e7"; "five dispatchers that exchange nothing")]
#[test_case("dispatchers=12 peer_load.allowed=true" =>
    "591998 actions, 7a070613a4767f91 b18d8882ef6459e2 4516fdc6066828a6 51e9211b7db7b1cc 8b7506f4c308d0e0 bde2e02afa946a65"; "twelve dispatchers that exchange load")]
#[test_case("dispatchers=300 peer_load.allowed=true warm_up_grants=true" =>
    "3080127 actions, 88a7ecf63a9f1914 dbf707c85e0b09b4 7fd861c1ae23b640 255cc247bfc84d46 b8de9ffee248f879 0f74c09f6f74beba"; "three hundred with warm-up grants")]
#[test_case("dispatchers=40 warm_up_grants=true endpoints.mode=pushed" =>
    "124457 actions, 1ad1686c5ad82ee6 8a652661e9496a67 a1a32965b325a92f e8fd45a364901ec3 dfe163a477eeaaec a6f670680c2eacea"; "grants and a pushed list")]
#[test_case("dispatchers=20 priority_weight.basis=request zone=1 start_notes=false" =>
    "106343 actions, 432a03fcdfa47afb b29a6b0d543fcb13 92957cb1a9978cad e02ba50b93cdb825 2821ad7850137365 1f29ce881e26dd52"; "weights by request")]
#[test_case("dispatchers=8 queue.order=random retry_after.allowed=false attempts.max=2 report.fields=" =>
    "112381 actions, 3e3eb7c8b947e65c 14a4f140e471c415 d83768b7c7bbe5b4 fd60e92e9aa0bfa7 7542f6e5a3658de2 a00c5f1dcb275d1d"; "no reports")]
fn decisions_match_the_recorded_digests(overrides: &str) -> String {
    let runs = (0..6).map(|seed| Model::new(settings(overrides), seed).run(31 * SECOND));
    let (actions, digests): (Vec<u64>, Vec<String>) = runs.unzip();
    format!(
        "{} actions, {}",
        actions.iter().sum::<u64>(),
        digests.join(" ")
    )
}
