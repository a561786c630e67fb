//! One world: a scenario set up, played to its end on the virtual clock, and judged.
use crate::agent::{Agent, Line};
use crate::client::{Clients, ms};
use crate::core::{Chance, Core, MS, Owner, SECOND};
use crate::judge::{Judge, Rule, Tally, Violation};
use crate::mail::{self, VMail};
use crate::net::{Net, VDoor, VStream, Ways};
use crate::scenario::{Effect, Fault, Group, Scenario, Trouble};
use crate::worker::{Process, Spell};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use rosewall::types::{EndpointState, Nanos};
use rosewall_cluster::config::ClusterConfig;
use rosewall_engine::config::Config;
use rosewall_runtime::node::Node;
use rosewall_runtime::traits::Runtime;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};

/// The world's first moment, in Unix time: any will do that lies well after 0.
const START: Nanos = 1_800_000_000 * SECOND;
/// A dispatcher that runs on for so many turns without a wait spins.
const SPIN: usize = 200_000;
/// After the signal to stop: the longest expiry, 3 s at most, and 0.7 s more, then the process is killed.
const KILL_MORE: Nanos = 700 * MS;
const KILL_MOST: Nanos = 3 * SECOND;
/// What may stay open at rest: the watch on the list. Tasks: hub, watch, door, members. Timers: the hub's, the members', and two
/// limits of the watch.
const REST_OPEN: usize = 1;
const REST_TASKS: usize = 4;
const REST_TIMERS: usize = 5;

/// The ground that a dispatcher's drivers stand on here.
pub struct Virtual {
    core: Rc<Core>,
    machine: usize,
    ex: Weak<LocalExecutor<'static>>,
    tasks: Rc<Cell<usize>>,
    /// How far its wall clock is ahead.
    ahead: Nanos,
}

struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Runtime for Virtual {
    type Stream = VStream;
    type Listener = VDoor;
    type DatagramSocket = VMail;

    fn bind_datagram_socket(
        &self,
        at: SocketAddr,
        through: Option<SocketAddr>,
    ) -> io::Result<VMail> {
        match through {
            Some(_) => Err(io::ErrorKind::Unsupported.into()),
            None => Ok(VMail::new(&self.core, self.machine, at)),
        }
    }

    fn now(&self) -> Nanos {
        self.core.now() + self.ahead
    }

    async fn sleep_until(&self, at: Nanos) {
        self.core
            .until(self.machine, at.saturating_sub(self.ahead))
            .await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()> {
        self.tasks.set(self.tasks.get() + 1);
        let counted = Counted(self.tasks.clone());
        let work = async move {
            let _counted = counted;
            work.await;
        };
        match self.ex.upgrade() {
            Some(ex) => ex.spawn(work),
            // The dispatcher is being taken down: nothing more of it runs.
            None => LocalExecutor::new().spawn(work),
        }
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<VStream> {
        Net::connect(&self.core, self.machine, to).await
    }
}

/// One dispatcher's place, with whoever runs there now.
#[derive(Default)]
struct Place {
    ex: Option<Rc<LocalExecutor<'static>>>,
    node: Option<Node<Virtual>>,
    machine: Owner,
    tasks: Rc<Cell<usize>>,
    /// Which of its agent's addresses it was told last.
    address: usize,
}

/// All of a world that faults act on.
struct Stage {
    core: Rc<Core>,
    scenario: Rc<Scenario>,
    places: RefCell<Vec<Place>>,
    agents: Vec<Rc<Agent>>,
    workers: RefCell<Vec<Rc<Process>>>,
    fallen: Sender<usize>,
    orders: Cell<u64>,
}

#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    pub seed: u64,
    pub violations: Vec<Violation>,
    pub tally: Tally,
    pub steps: u64,
    pub virtual_s: f64,
    #[serde(serialize_with = "hex")]
    pub digest: u64,
    #[serde(skip)]
    pub trace: Vec<(f64, String)>,
}

fn hex<S: serde::Serializer>(digest: &u64, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&format!("{digest:016x}"))
}

/// Where a dispatcher's datagrams come in.
fn post_box(place: usize) -> SocketAddr {
    ([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 7946).into()
}

fn door(place: usize) -> SocketAddr {
    ([10, 0, 0, place as u8], 3000).into()
}

impl Stage {
    /// What a dispatcher at this place is given.
    fn given(&self, place: usize, known: &str, sockets: usize) -> Result<Config, String> {
        let Scenario {
            limits,
            rules,
            scheme,
            worker,
            seed,
            dispatchers,
            ..
        } = &*self.scenario;
        let schemes: Vec<Value> = scheme
            .iter()
            .enumerate()
            .map(|(at, scheme)| {
                let effect = match scheme.effect {
                    Effect::Repeatable => "repeatable",
                    Effect::Referenced => "by_key",
                    Effect::OnceOnly => "once",
                };
                let group = match scheme.group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                json!({"Name": format!("s{at}"), "Idempotency": effect, "Group": group,
                    "WindowNs": scheme.window_ms * MS, "SlaTimeNs": scheme.sla_ms * MS,
                    "ExpiryNs": scheme.expiry_ms * MS, "Value": scheme.value, "TardyValue": 0.2 * scheme.value})
            })
            .collect();
        let zones = worker
            .iter()
            .map(|worker| worker.zone)
            .max()
            .unwrap_or_default();
        let zones: Vec<String> = (0..=zones).map(|zone| format!("z{zone}")).collect();
        let stretch: Vec<f64> = scheme.iter().map(|scheme| scheme.stretch).collect();
        let known: Value = serde_json::from_str(known).map_err(|error| error.to_string())?;
        let address = self.places.borrow()[place].address;
        let epoch =
            Chance::new(*seed, 50_000 + self.core.now() % 1_000_003).below(0, u32::MAX.into());
        let text = json!({
            "name": format!("n{place}"), "listen": door(place).to_string(),
            "discovery": self.agents[place].addresses[address].to_string(),
            "seed": format!("{:x}", epoch + place as u64),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": sockets},
            "known": known,
            "settings": {
                "Bounds": {"MaxPostings": limits.postings, "Probes": limits.probes, "RetryAfter": true,
                    "MaxRetryAfterNs": 2 * SECOND, "ConnIdleNs": limits.idle_ms * MS,
                    "ConnectTimeoutNs": limits.connect_ms * MS},
                "Contract": {"ColdFrom": rules.cold_from, "ColdNs": rules.cold_ms * MS,
                    "FallMultiple": rules.fall_multiple, "FallNs": rules.fall_ms * MS},
                "FamilyInfo": {"TellsStart": true, "ClassStretch": stretch, "ClassKind": vec![-1; scheme.len()]},
                "Kinds": ["k"], "Zones": zones, "Me": place, "Siblings": dispatchers, "RegistryMode": "pushed",
                "Parties": [{"Name": "t"}], "Report": {"Fields": [], "How": "none"}, "Schemes": schemes,
            }
        });
        let mut given =
            Config::parse(text.to_string().as_bytes()).map_err(|error| error.to_string())?;
        if let Some(members) = &self.scenario.members {
            let count = |most: usize| 0..most.min(*dispatchers);
            let cluster_config = ClusterConfig {
                cluster: "world".to_string(),
                name: format!("n{place}"),
                listen: post_box(place),
                seeds: count(3).map(post_box).collect(),
                quorum: count(members.keepers)
                    .map(|place| format!("n{place}"))
                    .collect(),
                relay: None,
                max_clock_skew: members.skew_ms * MS,
            };
            given.set_peer_load_allowed(members.peers);
            given
                .join_cluster(cluster_config)
                .map_err(|fault| fault.line())?;
        }
        Ok(given)
    }

    /// How far the clock at a place is ahead: drawn, the same at each start.
    fn ahead(&self, place: usize) -> Nanos {
        let skew = self
            .scenario
            .members
            .as_ref()
            .map_or(0, |members| members.skew_ms * MS);
        Chance::new(self.scenario.seed, 60_000 + place as u64).below(0, skew + 1)
    }

    fn start_dispatcher(&self, place: usize) {
        let core = &self.core;
        let machine = core.net.borrow_mut().machine(0);
        core.net.borrow_mut().machines[machine].owner = machine;
        self.agents[place].beside.set(machine);
        let (known, ahead) = (self.agents[place].list(machine), self.ahead(place));
        let started = self
            .given(place, &known, self.scenario.limits.sockets)
            .and_then(|given| {
                let ex = Rc::new(LocalExecutor::new());
                let tasks = Rc::new(Cell::new(0));
                let ground = Virtual {
                    core: core.clone(),
                    machine,
                    ex: Rc::downgrade(&ex),
                    tasks: tasks.clone(),
                    ahead,
                };
                let door = Net::listen(core, machine, door(place), 128);
                let node = Node::start(ground, given, door)?;
                let mut places = self.places.borrow_mut();
                let address = places[place].address;
                places[place] = Place {
                    ex: Some(ex),
                    node: Some(node),
                    machine,
                    tasks,
                    address,
                };
                Ok(())
            });
        core.note("starts", place as u64, machine as u64, || {
            format!("dispatcher {place} as machine {machine}")
        });
        if let Err(fault) = started {
            core.judge
                .borrow_mut()
                .blame(core.now(), Rule::Program, format!("no start: {fault}"));
        }
        core.mark(machine);
    }

    /// Takes down what is left of the process at a place: its connections end as a process's do.
    fn take_down(&self, place: usize) {
        let (ex, node) = {
            let mut places = self.places.borrow_mut();
            (places[place].ex.take(), places[place].node.take())
        };
        drop(node);
        drop(ex);
    }

    fn kill_dispatcher(&self, place: usize) {
        let machine = self.places.borrow()[place].machine;
        self.core.note("killed", place as u64, machine as u64, || {
            format!("dispatcher {place}")
        });
        self.core.judge.borrow_mut().kill(machine);
        Net::kill(&self.core, machine);
        self.take_down(place);
    }

    /// Stops a dispatcher in order; ends once it is down.
    async fn stop_dispatcher(self: &Rc<Self>, place: usize) {
        let (core, now) = (&self.core, self.core.now());
        let (node, ex, machine) = {
            let mut places = self.places.borrow_mut();
            let place = &mut places[place];
            (place.node.take(), place.ex.clone(), place.machine)
        };
        let (Some(node), Some(ex)) = (node, ex) else {
            return;
        };
        core.note("stops", place as u64, machine as u64, || {
            format!("dispatcher {place}")
        });
        let (end, ended) = async_channel::bounded::<()>(1);
        ex.spawn(async move {
            node.stop().await;
            drop(end);
        })
        .detach();
        core.mark(machine);
        drop(ex);
        let longest = self
            .scenario
            .scheme
            .iter()
            .map(|scheme| scheme.expiry_ms * MS)
            .max()
            .unwrap_or_default();
        let kill_at = now + longest.min(KILL_MOST) + KILL_MORE;
        let stopped = crate::core::by(core, kill_at, ended.recv()).await;
        if stopped.is_none() {
            core.judge.borrow_mut().blame(
                core.now(),
                Rule::Stop,
                format!("dispatcher {place} did not end in time"),
            );
        }
        core.note("stopped", place as u64, machine as u64, || {
            format!("dispatcher {place}")
        });
        // Whatever it had not answered by its end is lost, and was not killed.
        self.take_down(place);
    }

    fn line(&self, host: usize, standing: EndpointState) -> Line {
        let workers = self.workers.borrow();
        let process = &workers[host];
        Line {
            standing,
            dial: process.dial,
            born: process.born,
            zone: process.spec.zone,
            cell: process.spec.cell,
        }
    }

    /// What discovery has noticed reaches the agents, each in its time.
    fn announce(self: &Rc<Self>, host: usize, standing: EndpointState, notice: (Nanos, Nanos)) {
        self.orders.set(self.orders.get() + 1);
        let (order, line) = (self.orders.get(), self.line(host, standing));
        for agent in &self.agents {
            let (until, late) = agent.late.get();
            let late = if self.core.now() < until { late } else { 0 };
            let wait = self
                .core
                .draw(|chance| chance.below(notice.0, notice.1 + 1))
                + late;
            let (agent, line, core) = (agent.clone(), line.clone(), self.core.clone());
            self.core.spawn(async move {
                core.sleep(wait).await;
                agent.apply(host, line, order);
            });
        }
    }

    /// A new process at the worker's address, cold.
    fn rebirth(self: &Rc<Self>, host: usize) {
        let dial = self.workers.borrow()[host].dial;
        // Lists tell whole milliseconds.
        let born = self.core.now() / MS * MS;
        let process = Process::start(
            &self.core,
            host,
            &self.scenario,
            dial,
            born,
            self.fallen.clone(),
        );
        self.core
            .note("born", host as u64, born, || format!("worker {host}"));
        self.workers.borrow_mut()[host] = process;
        self.announce(host, EndpointState::Ready, (5 * MS, 400 * MS));
    }

    /// One fault, from its moment to its end.
    async fn fault(self: Rc<Self>, fault: Fault) {
        let (core, host) = (self.core.clone(), fault.target);
        core.until(0, START + ms(fault.at_ms)).await;
        core.note("fault", fault.kind as u64, host as u64, || {
            format!(
                "{:?} at {host} for {} ms, share {}",
                fault.kind, fault.for_ms, fault.share
            )
        });
        let (span, now) = (ms(fault.for_ms), core.now());
        let spell = Spell {
            until: now + span,
            share: fault.share,
        };
        if fault.kind.at_worker() {
            let process = self.workers.borrow()[host].clone();
            match fault.kind {
                Trouble::Stall => process.troubles.borrow_mut().stalled = spell.until,
                Trouble::Slow => process.troubles.borrow_mut().slow = spell,
                Trouble::Errors => process.troubles.borrow_mut().errors = spell,
                Trouble::FailScheme => {
                    let mut troubles = process.troubles.borrow_mut();
                    (troubles.fails, troubles.fails_scheme) = (spell, fault.scheme);
                }
                Trouble::Swallow => process.troubles.borrow_mut().swallows = spell,
                Trouble::Full => process.troubles.borrow_mut().full = spell,
                Trouble::Odd => process.troubles.borrow_mut().odd = spell,
                Trouble::Cut => Net::cut(&core, process.machine, fault.share, false),
                Trouble::CutBoth => Net::cut(&core, process.machine, fault.share, true),
                Trouble::Die => self.die(host, &process, span).await,
                Trouble::Vanish => {
                    Net::silence(&core, process.machine, true);
                    self.announce(host, EndpointState::Removed, (500 * MS, 1500 * MS));
                    core.sleep(span).await;
                    // Back: what was open is reset now.
                    Net::silence(&core, process.machine, false);
                    process.die();
                    self.rebirth(host);
                }
                Trouble::Drain | Trouble::DrainReturn => {
                    process.draining.set(true);
                    self.announce(host, EndpointState::Draining, (0, 300 * MS));
                    if fault.kind == Trouble::DrainReturn {
                        process.hand_back();
                    }
                    core.sleep(span).await;
                    self.die(host, &process, span).await;
                }
                _ => {
                    process.die();
                    self.rebirth(host);
                }
            }
            return;
        }
        let (place, agent) = (fault.target, self.agents[fault.target].clone());
        match fault.kind {
            Trouble::ListSilent => (0..2).for_each(|address| agent.silence(address, spell.until)),
            Trouble::ListForgets => {
                agent.forget();
                core.sleep(span).await;
                agent.counts();
            }
            Trouble::ListLate => agent.late.set((spell.until, span)),
            Trouble::ListBack => agent.go_back(span),
            Trouble::ListLacks => {
                let count = self.workers.borrow().len();
                let hosts = (0..count)
                    .filter(|_| core.draw(|chance| chance.is(fault.share)))
                    .collect();
                agent.lack(hosts, spell.until);
            }
            Trouble::ListGarbled => {
                agent.garbled.set(spell.until);
                agent.stir();
            }
            Trouble::Kill => {
                if self.places.borrow()[place].node.is_some() {
                    self.kill_dispatcher(place);
                    core.sleep(span).await;
                    self.start_dispatcher(place);
                }
            }
            Trouble::Stop => {
                if self.places.borrow()[place].node.is_some() {
                    self.stop_dispatcher(place).await;
                    core.sleep(span).await;
                    self.start_dispatcher(place);
                }
            }
            Trouble::Deaf => drop(
                core.post
                    .borrow_mut()
                    .deaf
                    .insert(post_box(place), spell.until),
            ),
            Trouble::Mute => drop(
                core.post
                    .borrow_mut()
                    .mute
                    .insert(post_box(place), spell.until),
            ),
            Trouble::Split => {
                // All up to this one on one side.
                let mut post = core.post.borrow_mut();
                post.apart
                    .extend((0..=place).map(|place| (post_box(place), spell.until)));
            }
            Trouble::Reload | Trouble::ReloadDead => {
                let old = self.places.borrow()[place].address;
                self.places.borrow_mut()[place].address = 1 - old;
                if fault.kind == Trouble::ReloadDead {
                    agent.silence(1 - old, spell.until);
                }
                self.reload(place, self.scenario.limits.sockets);
                if fault.kind == Trouble::Reload {
                    agent.silence(old, now + span);
                }
            }
            _ => {
                self.reload(place, (self.scenario.limits.sockets / 2).max(64));
                core.sleep(span).await;
                self.reload(place, self.scenario.limits.sockets);
            }
        }
    }

    fn reload(&self, place: usize, sockets: usize) {
        let given = self.given(place, "{\"seq\":0,\"whole\":true,\"hosts\":[]}", sockets);
        let places = self.places.borrow();
        if let (Some(node), Ok(given)) = (&places[place].node, given) {
            node.reload(&given);
            self.core.mark(places[place].machine);
        }
    }

    async fn die(self: &Rc<Self>, host: usize, process: &Rc<Process>, span: Nanos) {
        if !process.alive() {
            return;
        }
        process.die();
        self.core
            .note("dies", host as u64, 0, || format!("worker {host}"));
        self.announce(host, EndpointState::Removed, (5 * MS, 800 * MS));
        if span > 0 {
            self.core.sleep(span).await;
            self.rebirth(host);
        }
    }
}

pub struct World {
    stage: Rc<Stage>,
    clients: Rc<Clients>,
    home: Rc<LocalExecutor<'static>>,
    steps: u64,
}

impl World {
    pub fn new(scenario: &Scenario, trace: bool) -> World {
        let scenario = Rc::new(scenario.clone());
        let home = Rc::new(LocalExecutor::new());
        let [low, high] = scenario.net.latency_us;
        let ways = Ways {
            latency: (low * 1000, high * 1000),
            split: scenario.net.split,
            harsh: scenario.net.harsh,
        };
        let judge = Judge::new(
            START,
            scenario.rules.clone(),
            &scenario.scheme,
            scenario.mean_work(),
        );
        let core = Core::new(START, scenario.seed, Net::new(ways), judge, &home, trace);
        if let Some(members) = &scenario.members {
            let late = members.jitter_ms * MS;
            let latency = (ways.latency.0, ways.latency.1 + late);
            core.post.borrow_mut().ways = mail::Ways {
                loss: members.loss,
                twice: members.twice,
                latency,
            };
        }
        // Machine 0 is no one's, so that an owner that is not the world's has a number above it.
        core.net.borrow_mut().machine(0);
        let (fallen, falls) = async_channel::unbounded();
        let workers: Vec<_> = (0..scenario.worker.len())
            .map(|host| {
                let dial = ([10, 1, (host / 200) as u8, (host % 200) as u8 + 1], 3000).into();
                Process::start(&core, host, &scenario, dial, 0, fallen.clone())
            })
            .collect();
        let line = |process: &Rc<Process>| Line {
            standing: EndpointState::Ready,
            dial: process.dial,
            born: 0,
            zone: process.spec.zone,
            cell: process.spec.cell,
        };
        let lines: Vec<Line> = workers.iter().map(line).collect();
        let agents = (0..scenario.dispatchers)
            .map(|place| {
                let addresses = [8500, 8501].map(|port| ([10, 2, 0, place as u8 + 1], port).into());
                Agent::start(&core, addresses, lines.clone())
            })
            .collect();
        let places = RefCell::new(
            (0..scenario.dispatchers)
                .map(|_| Place::default())
                .collect(),
        );
        let (workers, orders) = (RefCell::new(workers), Cell::new(0));
        let stage = Rc::new(Stage {
            core,
            scenario,
            places,
            agents,
            workers,
            fallen,
            orders,
        });
        let doors = (0..stage.scenario.dispatchers).map(door).collect();
        let clients = Clients::new(&stage.core, &stage.scenario, doors);
        (0..stage.scenario.dispatchers).for_each(|place| stage.start_dispatcher(place));
        // A worker that has fallen over stays down.
        let of = stage.clone();
        stage.core.spawn(async move {
            while let Ok(host) = falls.recv().await {
                let process = of.workers.borrow()[host].clone();
                of.die(host, &process, 0).await;
            }
        });
        World {
            stage,
            clients,
            home,
            steps: 0,
        }
    }

    /// Plays it to its end.
    pub fn run(mut self) -> Report {
        let scenario = self.stage.scenario.clone();
        let core = self.stage.core.clone();
        self.clients.start(START + 100 * MS);
        for fault in scenario.fault.iter().cloned() {
            core.spawn(self.stage.clone().fault(fault));
        }
        // Faults that come back take their time twice at the most.
        let faults = scenario
            .fault
            .iter()
            .map(|fault| ms(fault.at_ms + 2.0 * fault.for_ms));
        let calm = faults
            .max()
            .unwrap_or_default()
            .max(scenario.length_ms * MS)
            + 100 * MS;
        let longest = scenario
            .scheme
            .iter()
            .map(|scheme| scheme.expiry_ms * MS)
            .max()
            .unwrap_or_default();
        self.play(START + calm);
        self.play(START + calm + 2 * longest + 5 * SECOND);
        core.judge.borrow_mut().close(core.now());
        self.clients.leave();
        // Idle connections go by themselves.
        self.play(core.now() + scenario.limits.idle_ms * MS + 3 * SECOND);
        self.at_rest();
        // At the end all stop in order, with nothing in hand.
        for place in 0..scenario.dispatchers {
            let stage = self.stage.clone();
            core.spawn(async move { stage.stop_dispatcher(place).await });
        }
        self.play(core.now() + KILL_MOST + KILL_MORE + SECOND);
        let machines: Vec<usize> = self
            .stage
            .places
            .borrow()
            .iter()
            .map(|place| place.machine)
            .collect();
        for machine in machines {
            let open = core.net.borrow().machines[machine].open;
            if open > 0 {
                let what =
                    format!("machine {machine} holds {open} connections after its process ended");
                core.judge
                    .borrow_mut()
                    .blame(core.now(), Rule::GivenBack, what);
            }
        }
        self.report(&scenario)
    }

    fn report(self, scenario: &Scenario) -> Report {
        let core = &self.stage.core;
        let trace = core.trace.as_ref().map(RefCell::take).unwrap_or_default();
        let since = |at: Nanos| at.saturating_sub(START) as f64 / 1e6;
        let judge = core.judge.borrow();
        Report {
            seed: scenario.seed,
            violations: judge.violations.clone(),
            tally: judge.tally.clone(),
            steps: self.steps,
            virtual_s: since(core.now()) / 1e3,
            digest: core.digest(),
            trace: trace
                .into_iter()
                .map(|(at, words)| (since(at), words))
                .collect(),
        }
    }

    /// Once faults have ceased and no client is there, each dispatcher holds what it needs at rest, and no more.
    fn at_rest(&self) {
        let core = &self.stage.core;
        for (at, place) in self.stage.places.borrow().iter().enumerate() {
            let Some(node) = &place.node else { continue };
            let shared = &node.context;
            let holds = [
                (
                    "connections",
                    core.net.borrow().machines[place.machine].open,
                    REST_OPEN,
                ),
                ("tasks", place.tasks.get(), REST_TASKS),
                ("timers", core.timers(place.machine), REST_TIMERS),
                ("txns", shared.active_requests.get(), 0),
                ("counted descriptors", shared.limits.descriptors_used(), 0),
            ];
            for (what, count, most) in holds {
                if count > most {
                    let words =
                        format!("dispatcher {at} holds {count} {what} at rest, {most} are needed");
                    core.judge
                        .borrow_mut()
                        .blame(core.now(), Rule::GivenBack, words);
                }
            }
        }
    }

    fn play(&mut self, until: Nanos) {
        let core = self.stage.core.clone();
        self.settle();
        while core.next_at().is_some_and(|at| at <= until) {
            self.steps += 1;
            core.step();
            // What happens in one instant is taken in one by one, or together.
            while core.next_at() == Some(core.now()) && core.draw(|chance| chance.is(0.3)) {
                core.step();
            }
            self.settle();
        }
        let core_ = core.clone();
        core.spawn(async move { core_.until(0, until).await });
        self.settle();
        while core.next_at().is_some_and(|at| at <= until) {
            core.step();
            self.settle();
        }
    }

    /// Runs all whom something was woken for, until no one has more to do just now.
    fn settle(&mut self) {
        loop {
            let owners = self.stage.core.take_dirty();
            if owners.is_empty() {
                return;
            }
            for owner in owners {
                if owner == 0 {
                    while self.home.try_tick() {}
                    continue;
                }
                let ex = {
                    let places = self.stage.places.borrow();
                    places
                        .iter()
                        .find(|place| place.machine == owner)
                        .and_then(|place| place.ex.clone())
                };
                if let Some(ex) = ex {
                    self.turn(owner, &ex);
                }
            }
        }
    }

    /// One dispatcher's turn.
    fn turn(&self, machine: usize, ex: &LocalExecutor<'static>) {
        let core = &self.stage.core;
        let mut turns = 0;
        let ran = catch_unwind(AssertUnwindSafe(|| {
            while turns < SPIN && ex.try_tick() {
                turns += 1;
            }
        }));
        if ran.is_err() {
            core.judge.borrow_mut().blame(
                core.now(),
                Rule::Program,
                format!("machine {machine} has panicked"),
            );
        }
        if turns >= SPIN {
            core.judge.borrow_mut().blame(
                core.now(),
                Rule::Program,
                format!("machine {machine} spins"),
            );
        }
        let most = core.net.borrow().machines[machine].most;
        if most > self.stage.scenario.limits.sockets {
            core.net.borrow_mut().machines[machine].most = 0;
            let what = format!("machine {machine} holds {most} connections");
            core.judge
                .borrow_mut()
                .blame(core.now(), Rule::Descriptors, what);
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // Dispatchers first: what they hold stands on the rest. Then the world's own tasks, which hold it.
        let count = self.stage.places.borrow().len();
        (0..count).for_each(|place| self.stage.take_down(place));
        self.home = Rc::new(LocalExecutor::new());
    }
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, trace: bool) -> Report {
    World::new(scenario, trace).run()
}
