//! Sets up a fleet, plays load and faults in it, and measures.
use crate::error::TestbedError;
use crate::process::Process;
use crate::relay::{Relay, Traffic};
use crate::scale::child::Child;
use crate::scale::discovery::DiscoveryReport;
use crate::scale::dispatchers::Views;
use crate::scale::load::{self, Doors, Load};
use crate::scale::map::{Cut, ZONES, region, zone};
use crate::scale::plan::{Fault, Kind, Lists, MOST_BYTES, MOST_PROCESSES, Plan, SHARE};
use crate::scale::system::{cpu, memory, resident};
use crate::scale::workers::WorkersReport;
use crate::scale::{Measured, Role};
use crate::stand::configuration;
use crate::testbed::request_status;
use crate::worker::SlowStart;
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The port of datagrams; each dispatcher has a loopback address of its own.
const PORT: u16 = 7946;
const READY_WITHIN: Duration = Duration::from_secs(30);
const VIEW_WITHIN: Duration = Duration::from_secs(120);
/// A view counts as one from when all had it, once they have had it for so long: claims move for a second after the last came.
const VIEW_HELD: Duration = Duration::from_millis(2_500);
/// How often views are asked for, and how often memory is looked at.
const LOOK: Duration = Duration::from_millis(100);
const WEIGH: Duration = Duration::from_secs(1);
/// After SIGTERM; then it is killed, as the platform does.
const END_WITHIN: Duration = Duration::from_secs(5);
/// Workers as they come up: a fifth at first, all after 20 s; they fall at four times what they can do in a second.
pub const COLD: SlowStart = SlowStart {
    initial_share: 0.2,
    duration: Duration::from_secs(20),
    overload_multiple: 4.0,
    window: Duration::from_secs(1),
};

#[derive(Deserialize)]
struct Ports {
    ports: Vec<u16>,
}

/// A real dispatcher on its way down or up.
enum Turn {
    Ends(usize, Instant),
    Rises(usize, Instant),
    /// A hollow one that was killed: it starts again a moment later, when its port is free.
    Waits(usize, Instant),
}

struct Hollow {
    child: Child,
    numbers: Vec<usize>,
}

/// What is to be done at a moment of the measured time.
enum Act {
    Restart(usize),
    Replace(usize),
    Lose(Vec<usize>, Vec<usize>),
    Back(Vec<usize>, Vec<usize>),
    Cut(bool),
    Kill(usize),
    Discovery(bool),
    Change(usize),
}

pub struct Stage {
    plan: Plan,
    folder: PathBuf,
    relay: Relay,
    workers: Child,
    discovery: Child,
    real: Vec<Option<Process>>,
    hollow: Vec<Hollow>,
    /// Whether each dispatcher is meant to run.
    up: Vec<bool>,
    doors: Doors,
    hosts: Vec<Value>,
    turns: Vec<Turn>,
    ready: Vec<f64>,
    base: u8,
    weighed: Instant,
    most_bytes: u64,
    view_s: f64,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.real.clear();
        self.hollow.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What was counted of a process as the measured time began.
struct Before {
    cpu: u64,
    traffic: Traffic,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn words(words: &[&dyn ToString]) -> Vec<String> {
    words.iter().map(|word| word.to_string()).collect()
}

impl Stage {
    pub fn set(plan: &Plan) -> Result<Stage, TestbedError> {
        static SERIAL: AtomicU32 = AtomicU32::new(0);
        let (pid, serial) = (std::process::id(), SERIAL.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(format!("rosewall-scale-{pid}-{serial}"));
        std::fs::create_dir_all(&folder).map_err(|source| TestbedError::Write {
            path: folder.clone(),
            source,
        })?;
        let (zone_ms, zones_ms, regions_ms) = (plan.zone_ms, plan.zones_ms, plan.regions_ms);
        let workers = Child::start(&words(&[
            &"workers",
            &plan.workers,
            &plan.seats,
            &zone_ms,
            &zones_ms,
            &regions_ms,
        ]))?;
        let Ports { ports } = workers.heard()?;
        let host = |at: usize, port: &u16| {
            json!({"host": format!("w{at:04}"), "dial": format!("127.0.0.1:{port}"), "site": format!("z{}", zone(at)),
                   "class": "m1", "block": 0, "health": "ready", "share": 1.0, "born_ms": 0})
        };
        let hosts: Vec<Value> = ports
            .iter()
            .enumerate()
            .map(|(at, port)| host(at, port))
            .collect();
        let mut discovery = Child::start(&words(&[&"discovery", &plan.all()]))?;
        let Ports { ports } = discovery.heard()?;
        discovery.tell(&format!("change {}", Value::from(hosts.clone())))?;
        let relay = Relay::start(plan.seed)?;
        relay.set_zone_latencies(plan.ways());
        let mut stage = Stage {
            plan: plan.clone(),
            folder,
            relay,
            workers,
            discovery,
            real: (0..plan.dispatchers).map(|_| None).collect(),
            hollow: Vec::new(),
            up: vec![true; plan.all()],
            doors: Arc::new(Mutex::new(vec![None; plan.dispatchers])),
            hosts,
            turns: Vec::new(),
            ready: Vec::new(),
            base: (32 + (pid + serial) % 32) as u8,
            weighed: Instant::now(),
            most_bytes: 0,
            view_s: 0.0,
        };
        for (at, port) in ports.into_iter().enumerate() {
            stage.relay.register(stage.mail(at), at);
            stage.write(at, port)?;
        }
        let apart = Duration::from_millis(plan.starts_apart_ms);
        let numbers: Vec<usize> = (plan.dispatchers..plan.all()).collect();
        for numbers in numbers.chunks(SHARE) {
            let (first, last, ms) = (numbers[0], numbers[numbers.len() - 1], plan.starts_apart_ms);
            let child = Child::start(&words(&[
                &"dispatchers",
                &stage.folder.display(),
                &first,
                &last,
                &ms,
            ]))?;
            stage.hollow.push(Hollow {
                child,
                numbers: numbers.to_vec(),
            });
        }
        for at in 0..plan.dispatchers {
            stage.start(at)?;
            thread::sleep(apart);
        }
        for hollow in &stage.hollow {
            hollow.child.heard::<Value>()?;
        }
        let begin = Instant::now();
        while !stage.turns.is_empty() {
            stage.turn()?;
            thread::sleep(Duration::from_millis(5));
        }
        if !plan.apart {
            stage.view_s = stage.one_view(begin)?;
        }
        Ok(stage)
    }

    fn mail(&self, at: usize) -> SocketAddr {
        (
            [127, self.base, (at / 250) as u8, (at % 250 + 1) as u8],
            PORT,
        )
            .into()
    }

    /// The files of one dispatcher, as an operator would write them.
    fn write(&self, at: usize, port: u16) -> Result<(), TestbedError> {
        let plan = &self.plan;
        let mut given = configuration(&format!("127.0.0.1:{port}"), 4_096);
        let task = (plan.task_s * 1e9) as u64;
        let settings = &mut given["settings"];
        (settings["Me"], settings["Siblings"]) = (at.into(), plan.all().into());
        settings["RegistryMode"] = if plan.lists == Lists::Asked {
            "on_request"
        } else {
            "pushed"
        }
        .into();
        settings["Zones"] = (0..ZONES)
            .map(|zone| format!("z{zone}"))
            .collect::<Vec<_>>()
            .into();
        settings["Parties"] = (0..plan.teams)
            .map(|team| json!({"Name": format!("t{team}")}))
            .collect::<Vec<_>>()
            .into();
        settings["Bounds"]["Peers"] = plan.peers.into();
        settings["Contract"] = json!({
            "ColdFrom": COLD.initial_share, "ColdNs": COLD.duration.as_nanos() as u64,
            "FallMultiple": COLD.overload_multiple, "FallNs": COLD.window.as_nanos() as u64,
        });
        settings["FamilyInfo"] = json!({"TellsStart": true, "ClassStretch": [1.0, 1.0, 1.0, 1.0], "ClassKind": [-1, -1, -1, -1]});
        if let Some(schemes) = settings["Schemes"].as_array_mut() {
            let mut urgent = schemes[0].clone();
            (urgent["Name"], urgent["Value"]) = ("urgent".into(), 5.0.into());
            schemes.push(urgent);
            for scheme in schemes {
                // Urgent work is to start within 3.2 s, other within 10 s.
                let sla: u64 = if scheme["Name"] == "urgent" {
                    3_200_000_000
                } else {
                    10_000_000_000
                };
                (scheme["SlaTimeNs"], scheme["ExpiryNs"]) =
                    (sla.into(), (3 * task + 2 * sla).into());
            }
        }
        let put = |name: String, text: String| {
            let path = self.folder.join(name);
            std::fs::write(&path, text).map_err(|source| TestbedError::Write {
                path: path.clone(),
                source,
            })
        };
        if !plan.apart {
            let seeds: Vec<String> = (0..plan.dispatchers.min(3))
                .map(|at| self.mail(at).to_string())
                .collect();
            let keepers: Vec<String> = plan.keepers().iter().map(|at| format!("n{at}")).collect();
            let file = format!("n{at}.toml");
            given["cluster"] = self.folder.join(&file).to_string_lossy().into();
            put(
                file,
                format!(
                    "version = 1\ncluster = \"scale\"\nname = \"n{at}\"\nlisten = \"{}\"\nseeds = {seeds:?}\n\
                     keepers = {keepers:?}\nthrough = \"{}\"\n",
                    self.mail(at),
                    self.relay.address
                ),
            )?;
        }
        put(format!("n{at}.json"), given.to_string())
    }

    /// Starts a real one; it is not waited for.
    fn start(&mut self, at: usize) -> Result<(), TestbedError> {
        let process = Process::start(at, &self.folder.join(format!("n{at}.json")), &[])?;
        self.real[at] = Some(process);
        self.up[at] = true;
        self.turns.push(Turn::Rises(at, Instant::now()));
        Ok(())
    }

    /// Carries on those that are on their way down or up.
    fn turn(&mut self) -> Result<(), TestbedError> {
        for turn in std::mem::take(&mut self.turns) {
            match turn {
                Turn::Ends(at, since) => {
                    let Some(process) = &mut self.real[at] else {
                        continue;
                    };
                    if process.has_exited() || since.elapsed() > END_WITHIN {
                        self.start(at)?;
                    } else {
                        self.turns.push(Turn::Ends(at, since));
                    }
                }
                Turn::Waits(at, since) if since.elapsed() > LOOK => self.rise(at)?,
                Turn::Waits(at, since) => self.turns.push(Turn::Waits(at, since)),
                Turn::Rises(at, since) => {
                    let Some(process) = &self.real[at] else {
                        continue;
                    };
                    let address = process.line("listening on ", Duration::ZERO);
                    let address =
                        address.and_then(|line| line.rsplit(' ').next().map(str::to_string));
                    let health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
                    let serves = address
                        .as_ref()
                        .and_then(|to| request_status(to, health, Duration::from_secs(1)));
                    if serves == Some(200) {
                        self.ready.push(since.elapsed().as_secs_f64());
                        if let Ok(mut doors) = self.doors.lock() {
                            doors[at] = address.and_then(|address| address.parse().ok());
                        }
                    } else if since.elapsed() > READY_WITHIN {
                        let last = process.lines().last().cloned().unwrap_or_default();
                        return Err(TestbedError::NotReady {
                            dispatcher: at,
                            seconds: READY_WITHIN.as_secs(),
                            last_line: last,
                        });
                    } else {
                        self.turns.push(Turn::Rises(at, since));
                    }
                }
            }
        }
        Ok(())
    }

    /// The rank of each that runs, and how many it holds the members to be.
    fn views(&mut self) -> Result<Vec<(usize, usize)>, TestbedError> {
        let mut all = Vec::new();
        for process in self.real.iter().flatten() {
            let line = process.last_line("cluster view ").unwrap_or_default();
            let word = |name: &str| {
                line.split(' ')
                    .find_map(|word| word.strip_prefix(name)?.parse().ok())
            };
            all.push((word("rank=").unwrap_or(0), word("members=").unwrap_or(0)));
        }
        for hollow in &mut self.hollow {
            let seen: Views = hollow.child.ask("views")?;
            all.extend(seen.views);
        }
        Ok(all)
    }

    /// Seconds from a moment to when all that run knew just each other, each with a rank of its own.
    fn one_view(&mut self, from: Instant) -> Result<f64, TestbedError> {
        let (end, mut since) = (Instant::now() + VIEW_WITHIN, None);
        let running = self.up.iter().filter(|up| **up).count();
        loop {
            let at = Instant::now();
            let mut views = self.views()?;
            views.sort_unstable();
            let one = views
                .iter()
                .enumerate()
                .all(|(place, view)| *view == (place, running));
            since = since.filter(|_| one).or(one.then_some(at));
            if let Some(at) = since.filter(|at| at.elapsed() >= VIEW_HELD) {
                return Ok(at.saturating_duration_since(from).as_secs_f64());
            }
            if at > end {
                let other = views.iter().filter(|(_, count)| *count != running).count();
                let seen = format!(
                    "{other} of {running} hold another number for it, or ranks are held twice"
                );
                return Err(TestbedError::NoCommonView {
                    seconds: VIEW_WITHIN.as_secs(),
                    seen,
                });
            }
            self.weigh()?;
            thread::sleep(LOOK);
        }
    }

    fn pids(&self) -> Vec<u32> {
        let real = self.real.iter().flatten().map(Process::pid);
        let children = [self.workers.pid(), self.discovery.pid(), std::process::id()];
        real.chain(self.hollow.iter().map(|hollow| hollow.child.pid()))
            .chain(children)
            .collect()
    }

    /// Ends the play where it takes more of the machine than is allowed.
    fn weigh(&mut self) -> Result<(), TestbedError> {
        if self.weighed.elapsed() < WEIGH {
            return Ok(());
        }
        self.weighed = Instant::now();
        let pids = self.pids();
        let bytes = pids.iter().map(|pid| resident(*pid)).sum();
        self.most_bytes = self.most_bytes.max(bytes);
        let (most, count) = (MOST_BYTES.min(memory() / 2), pids.len());
        if bytes > most {
            return Err(TestbedError::TooLarge {
                what: "resident memory",
                value: bytes,
                limit: most,
            });
        }
        if count > MOST_PROCESSES {
            let (value, most) = (count as u64, MOST_PROCESSES as u64);
            return Err(TestbedError::TooLarge {
                what: "the number of processes",
                value,
                limit: most,
            });
        }
        Ok(())
    }

    /// Kills a dispatcher outright.
    fn kill(&mut self, at: usize) -> Result<(), TestbedError> {
        self.up[at] = false;
        if let Some(place) = self.real.get_mut(at) {
            if let Some(mut process) = place.take() {
                process.kill();
            }
            if let Ok(mut doors) = self.doors.lock() {
                doors[at] = None;
            }
        } else if let Some(hollow) = self
            .hollow
            .iter_mut()
            .find(|hollow| hollow.numbers.contains(&at))
        {
            let first = hollow.numbers[0];
            hollow.child.tell(&format!("kill {}", at - first))?;
        }
        self.discovery.tell(&format!("gone {at}"))
    }

    fn restart(&mut self, at: usize) -> Result<(), TestbedError> {
        if !self.up[at] {
            return Ok(());
        }
        if at >= self.plan.dispatchers {
            self.kill(at)?;
            self.turns.push(Turn::Waits(at, Instant::now()));
            return Ok(());
        }
        if let Ok(mut doors) = self.doors.lock() {
            doors[at] = None;
        }
        if let Some(process) = &self.real[at] {
            process.signal("TERM");
            self.turns.push(Turn::Ends(at, Instant::now()));
        }
        self.discovery.tell(&format!("gone {at}"))
    }

    /// Starts one again that was killed.
    fn rise(&mut self, at: usize) -> Result<(), TestbedError> {
        if self.up[at] {
            return Ok(());
        }
        if at < self.plan.dispatchers {
            return self.start(at);
        }
        self.up[at] = true;
        match self
            .hollow
            .iter_mut()
            .find(|hollow| hollow.numbers.contains(&at))
        {
            Some(hollow) => {
                let first = hollow.numbers[0];
                hollow.child.tell(&format!("start {}", at - first))
            }
            None => Ok(()),
        }
    }

    fn list(&mut self, changed: Vec<Value>) -> Result<(), TestbedError> {
        self.discovery
            .tell(&format!("change {}", Value::from(changed)))
    }

    fn act(&mut self, act: &Act) -> Result<(), TestbedError> {
        match act {
            Act::Restart(at) => self.restart(*at),
            Act::Kill(at) => self.kill(*at),
            Act::Discovery(down) => self.discovery.tell(if *down { "down" } else { "up" }),
            Act::Cut(on) => {
                let cut = on.then_some(Cut(0, 1));
                self.relay.partition_regions(cut);
                self.workers.tell(if *on { "cut 0 1" } else { "heal" })
            }
            Act::Replace(at) => {
                self.workers.tell(&format!("replace {at}"))?;
                (self.hosts[*at]["born_ms"], self.hosts[*at]["health"]) =
                    (now_ms().into(), "ready".into());
                self.list(vec![self.hosts[*at].clone()])
            }
            Act::Change(at) => {
                // What it says of a worker's size moves by nothing that matters.
                let share = if self.hosts[*at]["share"] == 1.0 {
                    1.001
                } else {
                    1.0
                };
                self.hosts[*at]["share"] = share.into();
                self.list(vec![self.hosts[*at].clone()])
            }
            Act::Lose(dispatchers, workers) => {
                for at in dispatchers {
                    self.kill(*at)?;
                }
                for at in workers {
                    self.workers.tell(&format!("lose {at}"))?;
                    self.hosts[*at]["health"] = "gone".into();
                }
                let changed = workers.iter().map(|at| self.hosts[*at].clone()).collect();
                self.list(changed)
            }
            Act::Back(dispatchers, workers) => {
                for at in workers {
                    self.workers.tell(&format!("replace {at}"))?;
                    (self.hosts[*at]["born_ms"], self.hosts[*at]["health"]) =
                        (now_ms().into(), "ready".into());
                }
                let changed = workers.iter().map(|at| self.hosts[*at].clone()).collect();
                self.list(changed)?;
                dispatchers.iter().try_for_each(|at| self.rise(*at))
            }
        }
    }

    /// What a fault comes to, each act with its moment in seconds.
    fn acts(&self, fault: &Fault) -> Vec<(f64, Act)> {
        let Fault {
            kind,
            at_s,
            figure,
            lasts_s,
        } = *fault;
        let (all, workers, count) = (self.plan.all(), self.plan.workers, figure as usize);
        let lost = |gone: &dyn Fn(usize) -> bool| {
            let dispatchers: Vec<usize> = (0..all).filter(|at| gone(*at)).collect();
            let workers: Vec<usize> = (0..workers).filter(|at| gone(*at)).collect();
            let back = (
                at_s + lasts_s,
                Act::Back(dispatchers.clone(), workers.clone()),
            );
            vec![(at_s, Act::Lose(dispatchers, workers)), back]
        };
        match kind {
            // Real ones that are no control machines, then hollow ones.
            Kind::Restart => {
                let keepers = self.plan.keepers();
                let others = (0..all).filter(|at| !keepers.contains(at)).take(count);
                others
                    .enumerate()
                    .map(|(n, at)| (at_s + 0.02 * n as f64, Act::Restart(at)))
                    .collect()
            }
            Kind::Release => (0..all)
                .map(|n| (at_s + figure * n as f64 / all as f64, Act::Restart(n)))
                .collect(),
            Kind::Replace => (0..count.min(workers))
                .map(|at| (at_s + 0.01 * at as f64, Act::Replace(at)))
                .collect(),
            Kind::Rack => lost(&|at| at % count.max(2) == count.max(2) - 1),
            Kind::Zone => lost(&|at| zone(at) == count),
            Kind::Region => lost(&|at| region(zone(at)) == count),
            Kind::Cut => vec![(at_s, Act::Cut(true)), (at_s + lasts_s, Act::Cut(false))],
            Kind::Discovery => vec![
                (at_s, Act::Discovery(true)),
                (at_s + lasts_s, Act::Discovery(false)),
            ],
            Kind::Keepers => {
                let keepers = self.plan.keepers();
                keepers
                    .iter()
                    .enumerate()
                    .map(|(n, at)| (at_s + figure * n as f64, Act::Kill(*at)))
                    .collect()
            }
        }
    }

    fn before(&self, pid: u32, at: Option<usize>) -> Before {
        Before {
            cpu: cpu(pid),
            traffic: at.map(|at| self.relay.traffic(at)).unwrap_or_default(),
        }
    }

    /// What processes of one role have cost since, each standing for so many.
    fn role(&self, of: &[(u32, Vec<usize>, Before)], seconds: f64) -> Role {
        let mut role = Role::default();
        let mut add = |pid: u32, numbers: &[usize], before: &Before| {
            let bytes = resident(pid);
            // One that was restarted meanwhile is no longer there to be measured.
            if bytes == 0 {
                return;
            }
            let each = numbers.len().max(1);
            let percent = 100.0 * (cpu(pid).saturating_sub(before.cpu)) as f64 / 1e9 / seconds;
            let megabytes = bytes as f64 / 1e6;
            role.count += each;
            role.cpu_percent += percent;
            role.cpu_most = role.cpu_most.max(percent / each as f64);
            role.resident_mb += megabytes;
            role.resident_most = role.resident_most.max(megabytes / each as f64);
            let mut traffic = Traffic::default();
            for at in numbers {
                traffic += self.relay.traffic(*at);
            }
            let sent = traffic.sent.since(before.traffic.sent);
            let received = traffic.received.since(before.traffic.received);
            role.datagrams_out += sent.datagrams as f64 / seconds;
            role.bytes_out += sent.bytes as f64 / seconds;
            role.datagrams_in += received.datagrams as f64 / seconds;
            role.bytes_in += received.bytes as f64 / seconds;
        };
        of.iter()
            .for_each(|(pid, numbers, before)| add(*pid, numbers, before));
        let count = role.count.max(1) as f64;
        for sum in [
            &mut role.cpu_percent,
            &mut role.resident_mb,
            &mut role.datagrams_out,
            &mut role.datagrams_in,
            &mut role.bytes_out,
            &mut role.bytes_in,
        ] {
            *sum /= count;
        }
        role
    }

    /// Load, changes and faults for the measured time, and what they came to.
    pub fn play(&mut self) -> Result<Measured, TestbedError> {
        let plan = self.plan.clone();
        let load = Load {
            starts: plan.starts,
            task: Duration::from_secs_f64(plan.task_s),
            teams: plan.teams,
            urgent: plan.urgent,
            running: (plan.starts * plan.task_s) as usize,
            fill: Duration::from_secs_f64(if plan.starts > 0.0 {
                (plan.task_s / 2.0).min(4.0)
            } else {
                0.0
            }),
            measured: Duration::from_secs_f64(plan.seconds),
            expiry: Duration::from_secs_f64(3.0 * plan.task_s + 20.0),
            seed: plan.seed,
        };
        let begun = Arc::new(AtomicBool::new(false));
        let (doors, told) = (self.doors.clone(), begun.clone());
        let loading = thread::spawn(move || {
            load::run(load, &doors, move || told.store(true, Ordering::SeqCst))
        });
        while !begun.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
        self.workers.tell("begin")?;
        self.discovery.tell("begin")?;
        let keepers = plan.keepers();
        let real: Vec<(usize, u32)> = self
            .real
            .iter()
            .enumerate()
            .filter_map(|(at, process)| Some((at, process.as_ref()?.pid())))
            .collect();
        let one = |(at, pid): &(usize, u32)| (*pid, vec![*at], self.before(*pid, Some(*at)));
        let (kept, served): (Vec<_>, Vec<_>) =
            real.iter().partition(|(at, _)| keepers.contains(at));
        let (kept, served): (Vec<_>, Vec<_>) = (
            kept.iter().map(one).collect(),
            served.iter().map(one).collect(),
        );
        let crowd = |hollow: &Hollow| {
            let mut before = self.before(hollow.child.pid(), None);
            for at in &hollow.numbers {
                before.traffic += self.relay.traffic(*at);
            }
            (hollow.child.pid(), hollow.numbers.clone(), before)
        };
        let crowds: Vec<_> = self.hollow.iter().map(crowd).collect();
        let stand = |pid| vec![(pid, Vec::new(), self.before(pid, None))];
        let (workers, discovery) = (stand(self.workers.pid()), stand(self.discovery.pid()));
        let started = self.ready.len();
        let mut acts: Vec<(f64, Act)> = plan
            .faults
            .iter()
            .flat_map(|fault| self.acts(fault))
            .collect();
        let faults = acts.iter().map(|(at, _)| *at).fold(0.0, f64::max);
        let changes = (plan.changes * plan.seconds) as usize;
        acts.extend(
            (0..changes).map(|n| (n as f64 / plan.changes, Act::Change(n * 7 % plan.workers))),
        );
        acts.sort_by(|one, other| other.0.total_cmp(&one.0));
        let begin = Instant::now();
        let length = Duration::from_secs_f64(plan.seconds);
        while begin.elapsed() < length {
            while acts
                .last()
                .is_some_and(|(at, _)| begin.elapsed().as_secs_f64() >= *at)
            {
                if let Some((_, act)) = acts.pop() {
                    self.act(&act)?;
                }
            }
            self.turn()?;
            self.weigh()?;
            let next = acts
                .last()
                .map_or(length, |(at, _)| Duration::from_secs_f64(*at).min(length));
            let wait = next.saturating_sub(begin.elapsed());
            thread::sleep(wait.min(Duration::from_millis(if self.turns.is_empty() {
                200
            } else {
                10
            })));
        }
        let seconds = begin.elapsed().as_secs_f64();
        let mut measured = Measured {
            dispatcher: self.role(&served, seconds),
            keeper: self.role(&kept, seconds),
            hollow: self.role(&crowds, seconds),
            workers: self.role(&workers, seconds),
            discovery: self.role(&discovery, seconds),
            view_s: self.view_s,
            ..Measured::default()
        };
        let of: WorkersReport = self.workers.ask("report")?;
        let list: DiscoveryReport = self.discovery.ask("report")?;
        measured.asked = loading.join().unwrap_or_default();
        let each = (list.bytes_in + list.bytes_out) as f64 / plan.all() as f64 / seconds;
        for role in [
            &mut measured.dispatcher,
            &mut measured.keeper,
            &mut measured.hollow,
        ] {
            role.list_bytes = each;
        }
        let real_percent = measured.dispatcher.cpu_percent * measured.dispatcher.count as f64
            + measured.keeper.cpu_percent * measured.keeper.count as f64;
        measured.cpu_us_start = real_percent / 100.0 * seconds * 1e6 / (of.started as f64).max(1.0);
        (measured.usual, measured.urgent) = (of.usual, of.urgent);
        (measured.started, measured.running, measured.connects) =
            (of.started, of.running, of.connects);
        (measured.cold_worst, measured.cold) = (of.cold_worst, of.cold);
        (measured.change_mean_s, measured.change_most_s) =
            (list.taken_mean_ms / 1e3, list.taken_most_ms / 1e3);
        (measured.changes, measured.changes_open, measured.calls) =
            (list.changes, list.open, list.calls);
        (measured.whole_lists, measured.whole_bytes) = (list.whole, list.whole_bytes);
        let mut ready = self.ready[started..].to_vec();
        ready.sort_by(f64::total_cmp);
        measured.restarts = ready.len();
        measured.ready_p90_s = ready
            .get(ready.len() * 9 / 10)
            .or(ready.last())
            .copied()
            .unwrap_or(0.0);
        measured.ready_most_s = ready.last().copied().unwrap_or(0.0);
        // What was to come after the measured time comes now, so that the fleet can be seen to be whole again.
        while let Some((_, act)) = acts.pop() {
            if !matches!(act, Act::Change(_)) {
                self.act(&act)?;
            }
        }
        while !self.turns.is_empty() {
            self.turn()?;
            thread::sleep(Duration::from_millis(5));
        }
        if !plan.faults.is_empty() && !plan.apart {
            let last = begin + Duration::from_secs_f64(faults.min(seconds));
            measured.healed_s = self.one_view(last)?;
        }
        self.weighed -= WEIGH;
        self.weigh()?;
        (measured.processes, measured.memory_mb) =
            (self.pids().len(), self.most_bytes as f64 / 1e6);
        measured.plan = plan;
        Ok(measured)
    }
}
