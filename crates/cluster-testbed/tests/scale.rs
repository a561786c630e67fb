//! The command `scale`: bounds and exit codes, the accuracy of simulated dispatchers, and the parts it is made of: fits,
//! latencies, partitions, faults and quorum members.
use rosewall_cluster_testbed::scale::fit::{fit_line, predict_largest};
use rosewall_cluster_testbed::scale::plan::{Fault, Plan};
use rosewall_cluster_testbed::scale::topology::{Latencies, Partition};
use serde_json::Value;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;

/// Serializes the runs of the command, as each measures CPU time and memory.
static ONE_RUN_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs the command; returns its exit code, standard output and standard error.
fn scale(arguments: &str) -> (Option<i32>, String, String) {
    let _guard = ONE_RUN_AT_A_TIME
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosewall-testbed"));
    let output = command
        .arg("scale")
        .args(arguments.split_whitespace())
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Whether the program under test is built. `cargo test -p rosewall-cluster-testbed` alone does not build it.
fn program_is_built() -> bool {
    let exists = rosewall_cluster_testbed::process::program().exists();
    if !exists {
        println!("rosewalld is not built: cargo build -p rosewalld");
    }
    exists
}

/// A small version of the run at full size: restarts under load, list changes, and recovery of the fleet.
#[test]
fn small_fleet_stays_within_its_bounds() {
    assert!(program_is_built());
    let (code, stdout, stderr) = scale(
        "--dispatchers 9 --hollow 60 --workers 300 --starts 60 --task-s 1 --changes 2 --seconds 6 --regions-ms 20 \
         --fault restart@1:2 --fault replace@2:10 --most view_s=30 --most healed_s=30 --most change_s=2 --most changes_open=0 \
         --most ready_s=10 --most failed=0.05 --most cold_worst=1 --most cpu_percent=50 --most resident_mb=128 --most bytes=21000",
    );
    assert_eq!(code, Some(0), "{stdout}{stderr}");
    assert!(
        stdout.contains("it began in the steady state: 60 tasks"),
        "{stdout}"
    );
    assert!(
        stdout.contains("restarted, nine in ten ready within"),
        "{stdout}"
    );
}

#[test]
fn exceeded_bound_is_reported_with_exit_code_1() {
    assert!(program_is_built());
    let (code, _, stderr) =
        scale("--dispatchers 3 --hollow 2 --workers 8 --seconds 1 --most resident_mb=0.1");
    assert_eq!(code, Some(1), "{stderr}");
    assert!(stderr.contains("PASSED: resident_mb"), "{stderr}");
}

#[test_case("--dispatchers 280 --hollow 1500", "RW-RIG-LARGE"; "more processes than are allowed")]
#[test_case("--workers 9000", "RW-RIG-RANGE"; "more workers than are allowed")]
#[test_case("--fault quake@2", "none of restart, release"; "an unknown fault")]
#[test_case("--most speed=2", "none of view_s"; "a bound on an unknown metric")]
fn invalid_plan_is_rejected_with_exit_code_2(arguments: &str, expected: &str) {
    let (code, _, stderr) = scale(arguments);
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}

/// A simulated dispatcher has the traffic of a real idle one, within 25%. It uses 20% to 100% of the CPU time, as those of
/// one process wake up together, and less memory, as they share the program.
#[test]
fn simulated_dispatchers_have_the_traffic_of_real_idle_ones() {
    assert!(program_is_built());
    let (code, stdout, stderr) = scale(
        "--dispatchers 12 --hollow 24 --workers 60 --seconds 8 --changes 1 --regions-ms 5 --json",
    );
    assert_eq!(code, Some(0), "{stderr}");
    let measured: Value = serde_json::from_str(stdout.lines().next().unwrap()).unwrap();
    let ratio = |metric: &str| {
        let of = |role: &str| measured[role][metric].as_f64().unwrap();
        of("hollow") / of("dispatcher")
    };
    for metric in ["datagrams_out", "datagrams_in", "bytes_out", "bytes_in"] {
        assert!(
            (0.75..1.25).contains(&ratio(metric)),
            "{metric}: {} of a real one's",
            ratio(metric)
        );
    }
    assert!(
        (0.2..1.0).contains(&ratio("cpu_percent")),
        "{} of a real one's CPU",
        ratio("cpu_percent")
    );
    assert!(
        ratio("resident_mb") < 1.0,
        "{} of a real one's memory",
        ratio("resident_mb")
    );
}

#[test_case(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)] => Some((3.0, 2.0, 0.0)); "a straight line")]
#[test_case(&[(1.0, 5.0), (1.0, 6.0), (1.0, 7.0)] => None; "points of one size")]
#[test_case(&[(1.0, 5.0), (2.0, 7.0)] => None; "two points")]
fn fits_a_line(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let round = |value: f64| (value * 1e6).round() / 1e6;
    fit_line(points).map(|line| {
        (
            round(line.intercept),
            round(line.slope),
            round(line.slope_margin),
        )
    })
}

/// Guards against a curve that is reported as a line.
#[test]
fn prediction_of_a_curve_has_a_large_error() {
    let points: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 10.0].map(|x: f64| (x, x * x)).to_vec();
    let prediction = predict_largest(&points).unwrap();
    assert_eq!((prediction.size, prediction.measured), (10.0, 100.0));
    assert!(prediction.relative_error < -0.5, "{prediction:?}");
}

#[test_case(0, 0 => 250; "one zone")]
#[test_case(0, 2 => 1_000; "two zones of a region")]
#[test_case(2, 3 => 40_000; "two regions")]
fn latency_depends_on_zones_and_regions(one: usize, other: usize) -> u128 {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
    Latencies {
        within_zone: ms(0.25),
        between_zones: ms(1.0),
        between_regions: ms(40.0),
    }
    .between(one, other)
    .as_micros()
}

#[test_case(0, 3 => true; "from the first region to the second")]
#[test_case(5, 1 => true; "from the second region to the first")]
#[test_case(0, 2 => false; "within a region")]
#[test_case(0, 6 => false; "to a third region")]
fn partition_separates_its_two_regions(one: usize, other: usize) -> bool {
    Partition { one: 0, other: 1 }.separates(one, other)
}

#[test_case("zone@2:8:5" => Some((2.0, 8.0, 5.0)); "all values")]
#[test_case("cut@1" => Some((1.0, 1.0, 3.0)); "default values")]
#[test_case("zone" => None; "no start")]
#[test_case("zone@x" => None; "a start that is not a number")]
#[test_case("zone@1:2:3:4" => None; "too many values")]
fn parses_a_fault(text: &str) -> Option<(f64, f64, f64)> {
    text.parse::<Fault>()
        .ok()
        .map(|fault| (fault.at_s, fault.value, fault.duration_s))
}

#[test_case(30 => vec![0, 3, 6, 1, 4]; "five, with at most two per region")]
#[test_case(7 => vec![0, 3, 6, 1, 4]; "the smallest fleet with five")]
#[test_case(4 => vec![0]; "one in a smaller fleet")]
fn fleet_has_five_quorum_members_or_one(dispatchers: usize) -> Vec<usize> {
    Plan {
        dispatchers,
        ..Plan::default()
    }
    .quorum_members()
}
