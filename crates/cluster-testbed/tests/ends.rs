//! The command itself.
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The processes that were started with a folder of this rig.
fn of(rig: u32) -> Vec<u32> {
    let mark = format!("rosewall-testbed-{rig}-");
    let pids = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = pids.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let has = |pid: &u32| {
        let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        environment
            .windows(mark.len())
            .any(|part| part == mark.as_bytes())
    };
    pids.filter(has).collect()
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against processes that outlive a rig that was killed outright.
#[test]
fn processes_end_with_the_rig_that_was_killed() {
    let mut rig = Command::new(env!("CARGO_BIN_EXE_rosewall-testbed"))
        .args(["replay", "1"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    until("no process was started", || of(rig.id()).len() >= 5);
    std::thread::sleep(Duration::from_millis(500));
    assert!(of(rig.id()).len() >= 5, "they ended by themselves");
    rig.kill().unwrap();
    rig.wait().unwrap();
    until("some live on", || of(rig.id()).is_empty());
}

#[test]
fn a_fault_in_a_scenario_is_told_with_what_to_do() {
    let path = std::env::temp_dir().join(format!(
        "rosewall-testbed-fault-{}.toml",
        std::process::id()
    ));
    std::fs::write(&path, "secondz = 3\n").unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_rosewall-testbed"))
        .arg("run")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let told = String::from_utf8_lossy(&run.stderr).to_string();
    assert_eq!(run.status.code(), Some(2));
    assert!(
        told.contains("RW-RIG-SCENARIO") && told.contains("secondz") && told.contains("draw 1"),
        "{told}"
    );
}
