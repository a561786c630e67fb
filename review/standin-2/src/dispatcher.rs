//! A dispatcher process: the project's own program, started by the `run` command of the deploy file.
use crate::http::Connection;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

pub const HUP: i32 = 1;
pub const TERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Lets the process end with this one, also if this one is killed.
pub fn end_with_parent(command: &mut Command) {
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    // SAFETY: a system call without memory, which may be made between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(SET_PARENT_DEATH_SIGNAL, 9_u64);
            Ok(())
        });
    }
}

/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process, to be killed at the end of the run.
pub fn started(pid: u32) {
    RUNNING.lock().unwrap().push(pid);
}

/// Kills all dispatchers that still run.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: a system call without memory; the process is a child that has not been waited for.
        unsafe { kill(pid as i32, 9) };
    }
}

pub struct Dispatcher {
    child: Child,
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    record: Record,
}

/// What the configuration of one dispatcher holds beside its settings.
pub struct Setup<'a> {
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub memory_mb: usize,
    pub settings: &'a str,
}

/// Command of the deploy file, such as `run`.
pub fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| {
        let (name, value) = line.split_once('=')?;
        (name.trim() == key).then(|| value.trim().trim_matches('"').to_string())
    });
    line.expect("the command in the deploy file")
}

impl Dispatcher {
    /// Starts a dispatcher at a free port and waits until it is ready.
    pub fn start(folder: &Path, record: &Record, setup: &Setup) -> Result<Dispatcher, String> {
        let free = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = free.local_addr().map_err(|error| error.to_string())?;
        drop(free);
        Dispatcher::start_at(address, folder, record, setup)
    }

    /// Starts a dispatcher at this address and waits until it is ready.
    pub fn start_at(
        address: SocketAddr,
        folder: &Path,
        record: &Record,
        setup: &Setup,
    ) -> Result<Dispatcher, String> {
        let folder = folder.join(setup.name);
        fs::create_dir_all(folder.join("tmp")).map_err(|error| error.to_string())?;
        write_config(&folder, address, setup);
        let log = File::create(folder.join("log")).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        end_with_parent(&mut command);
        let child = command
            .arg("-c")
            .arg(deploy_command("run"))
            .env("PROXY_NAME", setup.name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", setup.discovery.to_string())
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("cannot start a dispatcher: {error}"))?;
        started(child.id());
        let mut dispatcher = Dispatcher {
            child,
            name: setup.name.to_string(),
            address,
            folder,
            record: record.clone(),
        };
        let until = Instant::now() + Duration::from_secs(30);
        while !dispatcher.is_ready() {
            if Instant::now() > until || !dispatcher.is_running() {
                return Err(format!(
                    "dispatcher {} is not ready: {}",
                    setup.name,
                    dispatcher.log()
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("dispatcher {} is ready at {address}", setup.name));
        Ok(dispatcher)
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.address) else {
            return false;
        };
        let request =
            b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        let until = Instant::now() + Duration::from_secs(1);
        connection.write(request).is_ok()
            && connection
                .read(Some(until))
                .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the file of the configuration and sends SIGHUP.
    pub fn reload(&self, setup: &Setup) {
        write_config(&self.folder, self.address, setup);
        self.record.line(&format!(
            "SIGHUP to {}: discovery is at {} from now on",
            self.name, setup.discovery
        ));
        self.signal(HUP);
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a system call without memory; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// What the dispatcher has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        RUNNING
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Ends the process with SIGTERM, so that its counters are logged, or else with SIGKILL.
    pub fn end(&mut self) {
        self.signal(TERM);
        let until = Instant::now() + Duration::from_secs(5);
        while self.is_running() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        for line in self
            .log()
            .lines()
            .filter(|line| line.contains("counters:") || line.contains("WARN"))
            .take(40)
        {
            self.record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

fn write_config(folder: &Path, address: SocketAddr, setup: &Setup) {
    let Setup {
        name,
        discovery,
        known,
        memory_mb,
        settings,
    } = setup;
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\n\"known\":{known},\n\"settings\":{settings}}}\n"
    );
    let new = folder.join("config.new");
    fs::write(&new, text).expect("the configuration can be written");
    fs::rename(&new, folder.join("config.json")).expect("the configuration can be replaced");
}
