//! CPU time and memory of processes, read from `/proc`.
use std::fs;
use std::path::Path;

const BYTES_PER_KB: u64 = 1024;

/// Returns the CPU time of all live threads of a process in nanoseconds. Threads that have ended are not included.
pub fn cpu_time_ns(pid: u32) -> u64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task"));
    let threads = threads.into_iter().flatten().flatten();
    threads
        .filter_map(|thread| thread_run_time_ns(&thread.path()))
        .sum()
}

fn thread_run_time_ns(thread: &Path) -> Option<u64> {
    let text = fs::read_to_string(thread.join("schedstat")).ok()?;
    text.split(' ').next()?.parse().ok()
}

/// Returns the value in bytes of a line in a `/proc` file that has it in kB; 0 if the line is missing.
fn bytes_in(file: &str, name: &str) -> u64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let kb = value.and_then(|value| value.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * BYTES_PER_KB
}

/// Returns the resident memory of a process, or 0 if it is not running.
pub fn resident_bytes(pid: u32) -> u64 {
    bytes_in(&format!("/proc/{pid}/status"), "VmRSS")
}

/// Returns the highest resident memory that a process has had, or 0 if it is not running.
pub fn peak_resident_bytes(pid: u32) -> u64 {
    bytes_in(&format!("/proc/{pid}/status"), "VmHWM")
}

/// Returns the total memory of the machine.
pub fn machine_memory_bytes() -> u64 {
    bytes_in("/proc/meminfo", "MemTotal")
}
