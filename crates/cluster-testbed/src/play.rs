//! Plays one scenario: processes, stand-ins, clients and faults, and the judge's report.
use crate::error::RigError;
use crate::judge::{Asked, ColdUse, Down, Evidence, Violation};
use crate::process::Process;
use crate::relay::{Ends, Relay, Way};
use crate::scenario::{Fault, Scenario, What};
use crate::stand::{Discovery, configuration, host, message, request};
use crate::worker::{Cold, Worker};
use rosewall::pcg::Pcg;
use serde::Serialize;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A process that is not ready by then counts as failed.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// After SIGTERM; then it is killed, as the platform does.
const END_WITHIN: Duration = Duration::from_secs(5);
/// The port of datagrams; each process has a loopback address of its own.
const PORT: u16 = 7946;

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub name: String,
    pub seed: u64,
    pub violations: Vec<Violation>,
    pub asked: usize,
    pub settled: usize,
    pub declined: usize,
    pub reversed: usize,
    /// Not settled, over all that were asked of a running dispatcher.
    pub missed: f64,
    pub cold: Vec<ColdUse>,
    /// The most work a seat of any warm worker over their mean, in the last third.
    pub uneven: f64,
    /// Datagrams carried and lost between dispatchers, and bytes a second and process.
    pub datagrams: u64,
    pub lost: u64,
    pub bytes: f64,
}

struct Place {
    process: Option<Process>,
    /// Where clients reach it, while it runs.
    address: Arc<Mutex<Option<String>>>,
    starts: u32,
}

pub struct Stage {
    scenario: Scenario,
    pub begin: Instant,
    folder: PathBuf,
    list: Discovery,
    relay: Ends,
    base: [u8; 2],
    places: Vec<Place>,
    workers: Vec<Arc<Worker>>,
    lines: Vec<Value>,
    downs: Vec<Down>,
    drains: Vec<(usize, Instant)>,
    asked: Arc<Mutex<Vec<Asked>>>,
    over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
    chance: Pcg,
    skews: Vec<i64>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.places.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Stage {
    pub fn set(scenario: &Scenario) -> Result<Stage, RigError> {
        scenario.check()?;
        static SERIAL: AtomicU32 = AtomicU32::new(0);
        let (pid, serial) = (std::process::id(), SERIAL.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(format!("rosewall-testbed-{pid}-{serial}"));
        std::fs::create_dir_all(&folder).map_err(|source| RigError::Folder {
            path: folder.clone(),
            source,
        })?;
        let cold = &scenario.cold;
        let cold = Cold {
            from: cold.from,
            time: Duration::from_millis(cold.time_ms),
            multiple: cold.multiple,
            window: Duration::from_millis(cold.window_ms),
        };
        let begin = Instant::now();
        let workers =
            (0..scenario.fleet.workers).map(|_| Worker::start(scenario.fleet.seats, None, cold));
        let workers = workers.collect::<Result<Vec<_>, _>>()?;
        let lines: Vec<Value> = workers
            .iter()
            .enumerate()
            .map(|(at, w)| host(&format!("w{at:02}"), &w.dial, "ready"))
            .collect();
        let list = Discovery::start(lines.clone());
        let relay = Ends(Relay::start(scenario.seed)?);
        relay.0.usual(scenario.datagrams);
        let mut chance = Pcg::new(scenario.seed);
        let most = scenario
            .fault
            .iter()
            .filter(|fault| fault.what == What::Start);
        let most = most
            .flat_map(|fault| &fault.who)
            .map(|who| who + 1)
            .max()
            .unwrap_or(0);
        let count = scenario.fleet.dispatchers.max(most);
        let half = scenario.fleet.skew_ms as f64;
        let skews = (0..count)
            .map(|_| (half * (chance.unit() - 0.5)) as i64)
            .collect();
        let place = |_| Place {
            process: None,
            address: Arc::default(),
            starts: 0,
        };
        let places = (0..count).map(place).collect();
        let mut stage = Stage {
            scenario: scenario.clone(),
            begin,
            folder,
            list,
            relay,
            base: [(64 + pid % 128) as u8, (pid / 128 + serial) as u8],
            places,
            workers,
            lines,
            downs: Vec::new(),
            drains: Vec::new(),
            asked: Arc::default(),
            over: Arc::default(),
            clients: Vec::new(),
            chance,
            skews,
        };
        for at in 0..count {
            let address = stage
                .mail(at)
                .parse()
                .map_err(|_| RigError::Socket(std::io::ErrorKind::AddrNotAvailable.into()))?;
            stage.relay.0.number(address, at);
        }
        for at in 0..scenario.fleet.dispatchers {
            stage.start(at)?;
        }
        (0..scenario.fleet.dispatchers).try_for_each(|at| stage.until_ready(at))?;
        stage.begin = Instant::now();
        Ok(stage)
    }

    fn mail(&self, at: usize) -> String {
        format!("127.{}.{}.{}:{PORT}", self.base[0], self.base[1], at + 1)
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, RigError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|source| RigError::Folder {
            path: path.clone(),
            source,
        })?;
        Ok(path)
    }

    /// The file of the members' part, as an operator would write it.
    fn members(&self, at: usize, name: &str) -> String {
        let fleet = &self.scenario.fleet;
        let seeds: Vec<String> = (0..fleet.dispatchers.min(3))
            .map(|at| self.mail(at))
            .collect();
        let keepers: Vec<String> = (0..fleet.keepers).map(|at| format!("n{at}")).collect();
        format!(
            "version = 1\ncluster = \"rig\"\nname = {name:?}\nlisten = {:?}\nseeds = {seeds:?}\nkeepers = {keepers:?}\n\
             through = {:?}\n",
            self.mail(at),
            self.relay.0.address.to_string()
        )
    }

    /// Starts a process under its name and addresses; it is not waited for.
    pub fn start(&mut self, at: usize) -> Result<(), RigError> {
        self.start_as(at, &format!("n{at}"))
    }

    pub fn start_as(&mut self, at: usize, name: &str) -> Result<(), RigError> {
        let Scenario {
            fleet, cold, load, ..
        } = &self.scenario;
        let mut given = configuration(&self.list.address, 1024);
        let expiry = load.expiry_ms * 1_000_000;
        let settings = &mut given["settings"];
        (settings["Me"], settings["Siblings"]) = (at.into(), fleet.slots().into());
        settings["Contract"] = json!({
            "ColdFrom": cold.from, "ColdNs": cold.time_ms * 1_000_000,
            "FallMultiple": cold.told_multiple.unwrap_or(cold.multiple), "FallNs": cold.window_ms * 1_000_000,
        });
        for scheme in settings["Schemes"].as_array_mut().into_iter().flatten() {
            (scheme["ExpiryNs"], scheme["SlaTimeNs"]) = (expiry.into(), (expiry / 2).into());
        }
        if fleet.members {
            settings["Bounds"]["Peers"] = fleet.peers.into();
            given["cluster"] = self
                .write(&format!("n{at}.toml"), &self.members(at, name))?
                .to_string_lossy()
                .into();
        }
        let file = self.write(&format!("n{at}.json"), &given.to_string())?;
        let level = std::env::var("ROSEWALL_LOG").unwrap_or_else(|_| "info".to_string());
        let env = [
            ("ROSEWALL_SKEW_MS", self.skews[at].to_string()),
            ("ROSEWALL_LOG", level),
        ];
        let process = Process::start(at, &file, &env)?;
        let place = &mut self.places[at];
        (place.process, place.starts) = (Some(process), place.starts + 1);
        Ok(())
    }

    /// Waits until a process that was started serves; then clients reach it.
    pub fn until_ready(&mut self, at: usize) -> Result<(), RigError> {
        let place = &self.places[at];
        let last = |process: &Process| process.lines().last().cloned().unwrap_or_default();
        let failed = |last| RigError::Start {
            at,
            seconds: READY_WITHIN.as_secs(),
            last,
        };
        let Some(process) = &place.process else {
            return Err(failed(String::new()));
        };
        let line = process
            .line("listening on ", READY_WITHIN)
            .ok_or_else(|| failed(last(process)))?;
        let address = line.rsplit(' ').next().unwrap_or_default().to_string();
        let end = Instant::now() + READY_WITHIN;
        while status(
            &address,
            "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
            Duration::from_secs(1),
        ) != Some(200)
        {
            if Instant::now() > end {
                return Err(failed(last(process)));
            }
            thread::sleep(Duration::from_millis(10));
        }
        if let Ok(mut known) = place.address.lock() {
            *known = Some(address);
        }
        self.up(at);
        Ok(())
    }

    fn up(&mut self, at: usize) {
        let now = Instant::now();
        let open = self
            .downs
            .iter_mut()
            .filter(|down| down.dispatcher == at && down.to.is_none());
        open.for_each(|down| down.to = Some(now));
    }

    fn down(&mut self, at: usize) {
        self.downs.push(Down {
            dispatcher: at,
            from: Instant::now(),
            to: None,
        });
    }

    fn hide(&mut self, at: usize) {
        self.down(at);
        if let Ok(mut known) = self.places[at].address.lock() {
            *known = None;
        }
    }

    pub fn kill(&mut self, at: usize) {
        self.hide(at);
        if let Some(mut process) = self.places[at].process.take() {
            process.kill();
        }
    }

    pub fn pause(&mut self, at: usize) {
        self.down(at);
        if let Some(process) = &self.places[at].process {
            process.signal("STOP");
        }
    }

    pub fn wake(&mut self, at: usize) {
        if let Some(process) = &self.places[at].process {
            process.signal("CONT");
        }
        // What it had in hand shows a moment later.
        thread::sleep(Duration::from_millis(5));
        self.up(at);
    }

    /// SIGTERM, and its end; clients that ask from here on ask no running dispatcher.
    pub fn leave(&mut self, at: usize) {
        self.hide(at);
        if let Some(mut process) = self.places[at].process.take() {
            process.signal("TERM");
            // Its end is waited for beside the play.
            thread::spawn(move || {
                let end = Instant::now() + END_WITHIN;
                while process.ended().is_none() && Instant::now() < end {
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
    }

    /// So many new workers, cold.
    pub fn join(&mut self, count: usize) -> Result<(), RigError> {
        let cold = self.workers[0].cold;
        let mut changed = Vec::new();
        for _ in 0..count {
            let worker = Worker::start(self.scenario.fleet.seats, Some(Instant::now()), cold)?;
            let born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis() as u64;
            let mut line = host(
                &format!("w{:02}", self.workers.len()),
                &worker.dial,
                "ready",
            );
            line["born_ms"] = born.into();
            self.workers.push(worker);
            self.lines.push(line.clone());
            changed.push(line);
        }
        self.list.put(changed, self.lines.clone());
        Ok(())
    }

    pub fn drain(&mut self, at: usize) {
        let Some(line) = self.lines.get_mut(at) else {
            return;
        };
        line["health"] = "draining".into();
        let changed = vec![line.clone()];
        self.list.put(changed, self.lines.clone());
        self.drains.push((at, Instant::now()));
    }

    /// The ways between these dispatchers and all others; which direction by `to` and `from`.
    pub fn cut(&self, who: &[usize], to: bool, from: bool, way: Option<Way>) {
        for one in who {
            for other in (0..self.places.len()).filter(|other| !who.contains(other)) {
                if to {
                    self.relay.0.set(other, *one, way);
                }
                if from {
                    self.relay.0.set(*one, other, way);
                }
            }
        }
    }

    /// The log of one process so far.
    pub fn lines(&self, at: usize) -> Vec<String> {
        self.places[at]
            .process
            .as_ref()
            .map(Process::lines)
            .unwrap_or_default()
    }

    /// Rank and number of members, as one process says itself.
    pub fn view(&self, at: usize) -> Option<(usize, usize)> {
        let lines = self.lines(at);
        let line = lines.iter().rfind(|line| line.contains("cluster view "))?;
        let word = |name: &str| {
            let mut words = line.split(' ').filter_map(|word| word.split_once('='));
            words.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        Some((word("rank")?, word("members")?))
    }

    /// Whether these know just each other, each with a rank of its own.
    pub fn agree(&self, who: &[usize]) -> bool {
        let mut ranks: Vec<usize> = Vec::new();
        for at in who {
            match self.view(*at) {
                Some((rank, members)) if members == who.len() => ranks.push(rank),
                _ => return false,
            }
        }
        ranks.sort_unstable();
        ranks.into_iter().eq(0..who.len())
    }

    /// The most work a seat that any worker was sent in a span, over their mean.
    pub fn uneven(&self, from: Instant, to: Instant) -> f64 {
        let (downs, drains, asked) = (&self.downs, &self.drains, &[]);
        let (begin, workers, expiry) = (self.begin, &self.workers, Duration::ZERO);
        Evidence {
            begin,
            end: to,
            expiry,
            workers,
            asked,
            downs,
            drains,
        }
        .uneven(from, to, |_| true)
    }

    pub fn process(&self, at: usize) -> Option<&Process> {
        self.places[at].process.as_ref()
    }

    /// Starts the clients of all places.
    pub fn ask(&mut self) {
        for at in 0..self.places.len() {
            for n in 0..self.scenario.load.clients {
                let (address, asked) = (self.places[at].address.clone(), self.asked.clone());
                let (over, load) = (self.over.clone(), self.scenario.load.clone());
                let seed = (self.chance.unit() * 1e15) as u64;
                let name = format!("d{at}-{n}");
                let client = Client {
                    name,
                    at,
                    address,
                    asked,
                    over,
                    chance: Pcg::new(seed),
                    load,
                };
                self.clients.push(thread::spawn(move || client.run()));
            }
        }
    }

    fn begin_fault(&mut self, fault: &Fault) -> Result<(), RigError> {
        let cut = Some(Way {
            cut: true,
            ..Way::default()
        });
        let workers = |stage: &Stage, act: &dyn Fn(&Worker)| {
            fault
                .who
                .iter()
                .filter_map(|who| stage.workers.get(*who))
                .for_each(|worker| act(worker));
        };
        let who: Vec<usize> = fault
            .who
            .iter()
            .copied()
            .filter(|who| *who < self.places.len())
            .collect();
        match fault.what {
            What::Kill => who.iter().for_each(|at| self.kill(*at)),
            What::Pause => who.iter().for_each(|at| self.pause(*at)),
            What::Roll | What::Leave => who.iter().for_each(|at| self.leave(*at)),
            What::Start => who
                .iter()
                .try_for_each(|at| self.start(*at).and_then(|()| self.until_ready(*at)))?,
            What::Join => self.join(fault.count.max(1))?,
            What::Drain => fault.who.iter().for_each(|at| self.drain(*at)),
            What::Hang => workers(self, &|worker| worker.hang(true)),
            What::Reset => workers(self, &|worker| worker.reset(true)),
            What::Lose => workers(self, &|worker| worker.lose(true)),
            What::Split => self.cut(&who, true, true, cut),
            What::Deaf => self.cut(&who, true, false, cut),
            What::Mute => self.cut(&who, false, true, cut),
            What::Ways => self.relay.0.usual(fault.way),
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: &Fault) -> Result<(), RigError> {
        let workers = |stage: &Stage, act: &dyn Fn(&Worker)| {
            fault
                .who
                .iter()
                .filter_map(|who| stage.workers.get(*who))
                .for_each(|worker| act(worker));
        };
        let who: Vec<usize> = fault
            .who
            .iter()
            .copied()
            .filter(|who| *who < self.places.len())
            .collect();
        match fault.what {
            What::Kill | What::Roll => {
                for at in who {
                    // A second fault may have brought it back.
                    if self.places[at].process.is_none() {
                        self.start(at)?;
                        self.until_ready(at)?;
                    }
                }
            }
            What::Pause => who.iter().for_each(|at| self.wake(*at)),
            What::Hang => workers(self, &|worker| worker.hang(false)),
            What::Reset => workers(self, &|worker| worker.reset(false)),
            What::Lose => workers(self, &|worker| worker.lose(false)),
            What::Split | What::Deaf | What::Mute => self.cut(&who, true, true, None),
            What::Ways => self.relay.0.usual(self.scenario.datagrams),
            What::Leave | What::Start | What::Join | What::Drain => {}
        }
        Ok(())
    }

    /// All faults at their moments, up to the end of the scenario. `tick` sees the stage each 20 ms.
    pub fn run(&mut self, mut tick: impl FnMut(&Stage, Duration)) -> Result<(), RigError> {
        let faults = self.scenario.fault.clone();
        let mut todo: Vec<(u64, bool, usize)> = Vec::new();
        for (at, fault) in faults.iter().enumerate() {
            todo.push((fault.at_ms, true, at));
            // One that rolls is back once the old process has had time to end.
            let lasts = if fault.what == What::Roll {
                1_500
            } else {
                fault.lasts_ms
            };
            if lasts > 0 {
                todo.push((fault.at_ms + lasts, false, at));
            }
        }
        todo.sort_unstable();
        let end = Duration::from_secs_f64(self.scenario.seconds);
        let mut todo = todo.into_iter().peekable();
        while self.begin.elapsed() < end {
            let passed = self.begin.elapsed();
            while let Some((_, begins, at)) =
                todo.next_if(|(ms, ..)| u128::from(*ms) <= passed.as_millis())
            {
                if begins {
                    self.begin_fault(&faults[at])?
                } else {
                    self.end_fault(&faults[at])?
                }
            }
            tick(self, passed);
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Writes the log of each process that runs, with its counters, into a folder.
    pub fn logs(&self, folder: &Path) -> Result<(), RigError> {
        std::fs::create_dir_all(folder).map_err(|source| RigError::Folder {
            path: folder.to_path_buf(),
            source,
        })?;
        let running = || {
            self.places
                .iter()
                .enumerate()
                .filter_map(|(at, place)| Some((at, place.process.as_ref()?)))
        };
        running().for_each(|(_, process)| process.signal("USR1"));
        thread::sleep(Duration::from_millis(100));
        for (at, process) in running() {
            let path = folder.join(format!("n{at}.log"));
            std::fs::write(&path, process.lines().join("\n")).map_err(|source| {
                RigError::Folder {
                    path: path.clone(),
                    source,
                }
            })?;
        }
        Ok(())
    }

    /// Ends the clients and judges.
    pub fn judge(mut self) -> Report {
        let end = Instant::now();
        self.over.store(true, Ordering::Relaxed);
        // Whoever is still paused answers no one: its clients give up by themselves.
        std::mem::take(&mut self.clients)
            .into_iter()
            .for_each(|client| drop(client.join()));
        let asked = self
            .asked
            .lock()
            .map(|asked| asked.clone())
            .unwrap_or_default();
        let expiry = Duration::from_millis(self.scenario.load.expiry_ms);
        let evidence = Evidence {
            begin: self.begin,
            end,
            expiry,
            workers: &self.workers,
            asked: &asked,
            downs: &self.downs,
            drains: &self.drains,
        };
        let drained: Vec<usize> = self.drains.iter().map(|(at, _)| *at).collect();
        let warm = |at: usize| at < self.scenario.fleet.workers && !drained.contains(&at);
        let third = (end - self.begin) / 3;
        let with = |status: u16| {
            asked
                .iter()
                .filter(|asked| asked.answer.is_some_and(|(got, _)| got == status))
                .count()
        };
        let (datagrams, lost, bytes) = self.relay.0.counts();
        let each = (end - self.begin).as_secs_f64() * self.scenario.fleet.dispatchers as f64;
        Report {
            name: self.scenario.name.clone(),
            seed: self.scenario.seed,
            violations: evidence.violations(),
            asked: asked.len(),
            settled: with(200),
            declined: with(503),
            reversed: with(502),
            missed: 1.0 - with(200) as f64 / asked.len().max(1) as f64,
            cold: evidence.cold_uses(),
            uneven: evidence.uneven(end - third, end, warm),
            datagrams,
            lost,
            bytes: bytes as f64 / each.max(1e-9),
        }
    }
}

/// One request on a connection of its own: the status.
pub(crate) fn status(address: &str, text: &str, within: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    message(&mut BufReader::new(&stream))?
        .0
        .split(' ')
        .nth(1)?
        .parse()
        .ok()
}

struct Client {
    name: String,
    at: usize,
    address: Arc<Mutex<Option<String>>>,
    asked: Arc<Mutex<Vec<Asked>>>,
    over: Arc<AtomicBool>,
    chance: Pcg,
    load: crate::scenario::Load,
}

impl Client {
    /// Asks one after the other, over a connection that is kept while it lasts.
    fn run(mut self) {
        let (mut stream, mut serial): (Option<(TcpStream, String)>, u64) = (None, 0);
        while !self.over.load(Ordering::Relaxed) {
            let pause = -(1.0 - self.chance.unit()).ln() * self.load.pause_ms;
            thread::sleep(Duration::from_secs_f64(
                pause.min(10.0 * self.load.pause_ms) / 1e3,
            ));
            let Some(address) = self.address.lock().ok().and_then(|address| address.clone()) else {
                stream = None;
                continue;
            };
            if stream.as_ref().is_none_or(|(_, to)| *to != address) {
                let Ok(new) = TcpStream::connect(&address) else {
                    continue;
                };
                let wait = Duration::from_millis(self.load.expiry_ms + 1_000);
                if new.set_read_timeout(Some(wait)).is_err() || new.set_nodelay(true).is_err() {
                    continue;
                }
                stream = Some((new, address));
            }
            let Some((open, _)) = &stream else { continue };
            serial += 1;
            let (id, scheme) = (format!("{}-{serial}", self.name), serial as usize % 3);
            // Half to one and a half times the usual work.
            let work = (self.load.work_ms * 1e3 * (0.5 + self.chance.unit())) as u64;
            let (more, name) = (
                format!("Work-Hint: {work}\r\n"),
                ["thumb", "invoice", "charge"][scheme],
            );
            let seconds = self.load.expiry_ms as f64 / 1e3;
            let text = request(&id, name, seconds, &more, &work.to_string());
            let at = Instant::now();
            let mut to = open;
            if to.write_all(text.as_bytes()).is_err() {
                // The connection had ended before: nothing was taken.
                stream = None;
                continue;
            }
            let head = message(&mut BufReader::new(open)).map(|(head, _)| head);
            let status = head
                .as_ref()
                .and_then(|head| head.split(' ').nth(1)?.parse().ok());
            let over = Instant::now();
            let closes =
                head.is_none_or(|head| head.to_ascii_lowercase().contains("connection: close"));
            let answer = status.map(|status: u16| (status, over));
            let one = Asked {
                id,
                dispatcher: self.at,
                once: scheme == 2,
                at,
                answer,
                over,
            };
            if let Ok(mut asked) = self.asked.lock() {
                asked.push(one);
            }
            if closes {
                stream = None;
            }
        }
    }
}

/// The whole of it; with a folder, the processes' logs go there.
pub fn play(scenario: &Scenario, logs: Option<&Path>) -> Result<Report, RigError> {
    let mut stage = Stage::set(scenario)?;
    stage.ask();
    stage.run(|_, _| {})?;
    logs.map_or(Ok(()), |folder| stage.logs(folder))?;
    Ok(stage.judge())
}
