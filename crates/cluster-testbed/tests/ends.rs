//! The command `rosewall-testbed`: no process outlives it, and an invalid scenario is reported with a remedy.
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Returns the processes whose environment names a folder of this testbed process.
fn processes_of(testbed: u32) -> Vec<u32> {
    let mark = format!("rosewall-testbed-{testbed}-");
    let pids = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = pids.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let has_mark = |pid: &u32| {
        let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        environment
            .windows(mark.len())
            .any(|part| part == mark.as_bytes())
    };
    pids.filter(has_mark).collect()
}

fn wait_until(holds: impl Fn() -> bool, failure: &str) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "{failure}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against processes that outlive a testbed killed by SIGKILL, which cannot clean up.
#[test]
fn processes_end_when_the_testbed_is_killed() {
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_rosewall-testbed"))
        .args(["replay", "1"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until(
        || processes_of(testbed.id()).len() >= 5,
        "fewer than 5 processes were started",
    );
    std::thread::sleep(Duration::from_millis(500));
    assert!(
        processes_of(testbed.id()).len() >= 5,
        "processes ended before the testbed"
    );
    testbed.kill().unwrap();
    testbed.wait().unwrap();
    wait_until(
        || processes_of(testbed.id()).is_empty(),
        "processes outlived the testbed",
    );
}

#[test]
fn rejects_a_scenario_with_an_unknown_key_and_says_how_to_get_a_valid_one() {
    let path = std::env::temp_dir().join(format!(
        "rosewall-testbed-invalid-{}.toml",
        std::process::id()
    ));
    std::fs::write(&path, "secondz = 3\n").unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_rosewall-testbed"))
        .arg("run")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let stderr = String::from_utf8_lossy(&run.stderr).to_string();
    assert_eq!(run.status.code(), Some(2));
    assert!(
        stderr.contains("RW-RIG-SCENARIO")
            && stderr.contains("secondz")
            && stderr.contains("draw 1"),
        "{stderr}"
    );
}
