//! The command `scale`: its verdicts, and what hollow processes are worth.
use rosewall_cluster_testbed::scale::fit::{fit_line, predict_largest};
use rosewall_cluster_testbed::scale::plan::{Fault, Plan};
use rosewall_cluster_testbed::scale::topology::{Latencies, Partition};
use serde_json::Value;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;

/// Plays that start processes go one after the other, as each measures.
static ALONE: Mutex<()> = Mutex::new(());

/// The exit code of the command, and what it printed.
fn scale(words: &str) -> (Option<i32>, String, String) {
    let _alone = ALONE.lock().unwrap_or_else(|held| held.into_inner());
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosewall-testbed"));
    let out = command
        .arg("scale")
        .args(words.split_whitespace())
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

/// Whether the program under test is built; `cargo test -p rosewall-testbed` alone does not build it.
fn built() -> bool {
    let there = rosewall_cluster_testbed::process::program().exists();
    if !there {
        println!("rosewalld is not built: cargo build -p rosewalld");
    }
    there
}

/// The small form of the run at full size: restarts under load, changes of the list, and a fleet that is whole again.
#[test]
fn a_small_fleet_keeps_its_bounds() {
    assert!(built());
    let (code, out, told) = scale(
        "--dispatchers 9 --hollow 60 --workers 300 --starts 60 --task-s 1 --changes 2 --seconds 6 --regions-ms 20 \
         --fault restart@1:2 --fault replace@2:10 --most view_s=30 --most healed_s=30 --most change_s=2 --most changes_open=0 \
         --most ready_s=10 --most failed=0.05 --most cold_worst=1 --most cpu_percent=50 --most resident_mb=128 --most bytes=21000",
    );
    assert_eq!(code, Some(0), "{out}{told}");
    assert!(
        out.contains("it began in the steady state: 60 tasks"),
        "{out}"
    );
    assert!(out.contains("restarted, nine in ten ready within"), "{out}");
}

#[test]
fn a_bound_that_is_passed_is_told_and_ends_it_with_one() {
    assert!(built());
    let (code, _, told) =
        scale("--dispatchers 3 --hollow 2 --workers 8 --seconds 1 --most resident_mb=0.1");
    assert_eq!(code, Some(1), "{told}");
    assert!(told.contains("PASSED: resident_mb"), "{told}");
}

#[test_case("--dispatchers 280 --hollow 1500", "RW-RIG-LARGE"; "more processes than are allowed")]
#[test_case("--workers 9000", "RW-RIG-RANGE"; "more workers than are played")]
#[test_case("--fault quake@2", "none of restart, release"; "a fault that there is not")]
#[test_case("--most speed=2", "none of view_s"; "a bound that there is not")]
fn what_cannot_be_played_ends_with_two_and_says_why(words: &str, why: &str) {
    let (code, _, told) = scale(words);
    assert_eq!(code, Some(2), "{told}");
    assert!(told.contains(why), "{told}");
}

/// What a hollow dispatcher sends is what a real idle one sends, within a quarter. It costs a fifth of the CPU at least and no
/// more than the whole, as those of one process wake together; and less memory, as they share the program.
#[test]
fn hollow_ones_send_what_real_idle_ones_send() {
    assert!(built());
    let (code, out, told) = scale(
        "--dispatchers 12 --hollow 24 --workers 60 --seconds 8 --changes 1 --regions-ms 5 --json",
    );
    assert_eq!(code, Some(0), "{told}");
    let measured: Value = serde_json::from_str(out.lines().next().unwrap()).unwrap();
    let ratio = |figure: &str| {
        let of = |role: &str| measured[role][figure].as_f64().unwrap();
        of("hollow") / of("dispatcher")
    };
    for figure in ["datagrams_out", "datagrams_in", "bytes_out", "bytes_in"] {
        assert!(
            (0.75..1.25).contains(&ratio(figure)),
            "{figure}: {} of a real one's",
            ratio(figure)
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
#[test_case(&[(1.0, 5.0), (1.0, 6.0), (1.0, 7.0)] => None; "one size is no slope")]
#[test_case(&[(1.0, 5.0), (2.0, 7.0)] => None; "two points are no fit")]
fn a_fit_finds_the_line(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let round = |value: f64| (value * 1e6).round() / 1e6;
    fit_line(points).map(|line| {
        (
            round(line.intercept),
            round(line.slope),
            round(line.slope_margin),
        )
    })
}

/// Guards against a slope that is told as straight and is not.
#[test]
fn a_curve_shows_in_the_size_that_is_left_out() {
    let points: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 10.0].map(|x: f64| (x, x * x)).to_vec();
    let left_out = predict_largest(&points).unwrap();
    assert_eq!((left_out.size, left_out.measured), (10.0, 100.0));
    assert!(left_out.relative_error < -0.5, "{left_out:?}");
}

#[test_case(0, 0 => 250; "one zone")]
#[test_case(0, 2 => 1_000; "two zones of a region")]
#[test_case(2, 3 => 40_000; "two regions")]
fn how_far_zones_lie_apart(one: usize, other: usize) -> u128 {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
    Latencies {
        within_zone: ms(0.25),
        between_zones: ms(1.0),
        between_regions: ms(40.0),
    }
    .between(one, other)
    .as_micros()
}

#[test_case(0, 3 => true; "between the two")]
#[test_case(5, 1 => true; "the other way")]
#[test_case(0, 2 => false; "inside one")]
#[test_case(0, 6 => false; "to a third")]
fn what_a_cut_parts(one: usize, other: usize) -> bool {
    Partition { one: 0, other: 1 }.separates(one, other)
}

#[test_case("zone@2:8:5" => Some((2.0, 8.0, 5.0)); "whole")]
#[test_case("cut@1" => Some((1.0, 1.0, 3.0)); "with what is usual")]
#[test_case("zone" => None; "no moment")]
#[test_case("zone@x" => None; "a moment that is none")]
#[test_case("zone@1:2:3:4" => None; "too much")]
fn how_a_fault_is_written(text: &str) -> Option<(f64, f64, f64)> {
    text.parse::<Fault>()
        .ok()
        .map(|fault| (fault.at_s, fault.value, fault.duration_s))
}

#[test_case(30 => vec![0, 3, 6, 1, 4]; "five, of which no region has more than two")]
#[test_case(7 => vec![0, 3, 6, 1, 4]; "just as many as that takes")]
#[test_case(4 => vec![0]; "one where there are too few")]
fn who_are_control_machines(dispatchers: usize) -> Vec<usize> {
    Plan {
        dispatchers,
        ..Plan::default()
    }
    .quorum_members()
}
