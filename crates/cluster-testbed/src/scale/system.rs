//! What the system says of processes: processor time, memory, how many there are.
use std::fs;

/// Nanoseconds that all threads of a process have run; what ended threads ran is not in it.
pub fn cpu(pid: u32) -> u64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let run = |path: std::path::PathBuf| {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    tasks.filter_map(|task| run(task.path())).sum()
}

/// A line of `/proc/PID/status` that is in kB, in bytes.
fn status(pid: u32, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}

/// Resident memory, in bytes.
pub fn resident(pid: u32) -> u64 {
    status(pid, "VmRSS")
}

/// The machine's memory, in bytes.
pub fn memory() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}
