//! Worlds played as they are in the command: drawn ones by the hundred, and those in which troubles meet by plan.
use rosewall_simulation::explore::{among, explore, explore_by, scenario};
use rosewall_simulation::judge::{ClassTally, Rule, Tally};
use rosewall_simulation::scenario::{read, write};
use rosewall_simulation::world::play;
use test_case::test_case;

#[test]
fn five_hundred_drawn_worlds_break_no_rule() {
    let jobs = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    let mut broken = Vec::new();
    let sum = explore(0..500, jobs, None, |report| {
        broken.extend(
            (!report.violations.is_empty()).then(|| (report.seed, report.violations.clone())),
        );
    });
    assert_eq!((sum.worlds, broken), (500, Vec::new()));
    // A world in which nothing is asked or served would break no rule either.
    assert!(sum.txns > 200_000 && sum.settled > sum.txns / 2, "{sum:?}");
}

#[test]
fn a_seed_gives_one_world_whoever_plays_it_beside_it() {
    let alone = explore(0..16, 1, None, |_| ());
    let together = explore(0..16, 5, None, |_| ());
    assert_eq!(
        (alone.digest, alone.steps),
        (together.digest, together.steps)
    );
    assert_ne!(alone.digest, explore(1..17, 5, None, |_| ()).digest);
}

#[test]
fn a_timeline_is_the_same_with_and_without_a_trace() {
    let (drawn, other) = (scenario(7, None), scenario(7, None));
    let (told, silent) = (play(&drawn, true), play(&other, false));
    assert_eq!((told.digest, told.trace.is_empty()), (silent.digest, false));
}

/// Each under twenty seeds, so that all orders of one instant are tried. `least` settled txns a world show that its
/// clients were served at all.
#[test_case(include_str!("../scenarios/drain-meets-retry.toml"), 10; "a drain notice in the instant of a retry")]
#[test_case(include_str!("../scenarios/stall-ends-at-give-up.toml"), 10; "a stall that ends as the client gives up")]
#[test_case(include_str!("../scenarios/reset-before-last-byte.toml"), 10; "a reset between the last bytes")]
#[test_case(include_str!("../scenarios/stop-in-reload-in-restart.toml"), 10; "a stop in a reload in a restart")]
#[test_case(include_str!("../scenarios/two-wake-a-cold-worker.toml"), 100; "two that wake a cold worker")]
#[test_case(include_str!("../scenarios/expiry-answer-leave.toml"), 1; "expiry, answer and leave in one instant")]
#[test_case(include_str!("../scenarios/moved-watch.toml"), 5; "found: a moved watch heard no drain")]
#[test_case(include_str!("../scenarios/silent-watch.toml"), 100; "a silent watch, and a drain right after")]
#[test_case(include_str!("../scenarios/older-list.toml"), 5; "found: an older list put a drained worker back")]
#[test_case(include_str!("../scenarios/full-door.toml"), 5; "found: clients aged at a full door")]
#[test_case(include_str!("../scenarios/stop-meets-newcomer.toml"), 5; "found: a stop closed on a request under way")]
#[test_case(include_str!("../scenarios/left-while-connecting.toml"), 1; "found: posted for a client that had left")]
fn what_meets_by_plan_breaks_no_rule(text: &str, least: u64) {
    let tallies = unbroken(text, 0..20);
    tallies
        .iter()
        .for_each(|tally| assert!(tally.settled >= least, "{tally:?}"));
}

/// Found among 30,000: kinds of workers that were taken to have more seats than any has, and so a cold worker that got twice
/// what was meant. The names say what the seats were counted by.
#[test_case(9_890; "starts of jobs that never ended")]
#[test_case(1_005_010; "starts told sooner than the ends before them")]
#[test_case(1_015_281; "likewise, and workers of unlike seats")]
fn seats_that_are_not_there_push_no_cold_worker_over(seed: u64) {
    assert_eq!(play(&scenario(seed, None), false).violations, Vec::new());
}

/// Found among 20,000: of eight workers of one kind and one listed size the cold one can do 1.6 seats' work, most others 2.8 to
/// 4. Budgets still go by the least fourth of its kind; that this one is kept since runs not seen yet go by
/// SLA times shows no more than that.
#[test]
fn a_worker_smaller_than_its_kind_is_not_pushed_over() {
    assert_eq!(
        play(&scenario(1_006_095, None), false).violations,
        Vec::new()
    );
}

/// What the operators count: beyond the N calls that a cold worker may get, 2 x root of N + 2 are chance, also where thirty
/// dispatchers send to it, each within its own part.
#[test_case(20)]
#[test_case(30)]
fn cold_workers_stand_many_dispatchers(dispatchers: usize) {
    let jobs = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    let sum = explore_by(
        0..150,
        jobs,
        |seed| among(seed, None, Some(dispatchers)),
        |_| (),
    );
    assert_eq!(
        (sum.worlds, sum.fell_by_root, sum.broken.get(&Rule::Cold)),
        (150, 0, None)
    );
    assert!(sum.settled > sum.txns / 2, "{sum:?}");
}

/// What a planned world comes to under each seed; no rule is broken.
fn unbroken(text: &str, seeds: std::ops::Range<u64>) -> Vec<Tally> {
    let planned = read(text).unwrap();
    let tally = |seed| {
        let report = play(&scenario(seed, Some(&planned)), false);
        assert_eq!(report.violations, Vec::new(), "seed {seed}");
        report.tally
    };
    seeds.map(tally).collect()
}

/// A quarter of a large fleet, with its troubles to scale; the whole ones (`vast-*.toml`) are for the command. Guards
/// against what each dispatcher does that is fine alone and hurts when all do it. `most` is the share that may be declined or
/// reversed: with budgets of cold workers in parts in which no job fits it was 6.3% where most workers are replaced, and is 2.7%.
#[test_case(include_str!("../scenarios/small-join.toml"), 0.045; "most workers are replaced")]
#[test_case(include_str!("../scenarios/small-zone.toml"), 0.02; "a zone is lost and comes back cold")]
#[test_case(include_str!("../scenarios/small-herd.toml"), 0.02; "most dispatchers are killed in a release")]
#[test_case(include_str!("../scenarios/small-odd.toml"), 0.1; "odd lists, and workers that flap, swallow or are full")]
fn a_large_fleet_goes_on_serving(text: &str, most: f64) {
    let tallies = unbroken(text, 0..8);
    let (txns, missed) = tallies.iter().fold((0, 0), |(txns, missed), tally| {
        (txns + tally.txns, missed + tally.declined + tally.reversed)
    });
    let share = missed as f64 / txns as f64;
    assert!(
        txns > 5_000 && share < most,
        "{missed} of {txns} txns were not settled"
    );
}

/// Found on the operators' `calm+mass` days: at dispatchers that see a request a second or fewer, all classes looked alike
/// until one of each had settled, and the short class stood behind long jobs. With 100 ms for
/// each class's first run 0.62 of the short requests were settled in time, with the SLA time 0.72.
#[test]
fn a_class_of_short_requests_is_served_beside_long_jobs() {
    let tallies = unbroken(include_str!("../scenarios/short-beside-long.toml"), 0..8);
    let served = |class: usize| {
        let sum = |count: fn(&ClassTally) -> u64| {
            tallies
                .iter()
                .map(|tally| count(&tally.classes[class]))
                .sum::<u64>()
        };
        sum(|class| class.in_time) as f64 / sum(|class| class.requests) as f64
    };
    let (short, long) = (served(0), served(1));
    assert!(
        short > 0.67 && long > 0.9,
        "{short:.3} of the short and {long:.3} of the long requests were in time"
    );
}

/// At full size: what lists and workers may do wrong breaks no rule at a hundred dispatchers. Under seed 3 a vanished
/// machine came back as a posting still waited to be written there, and was sent it anew long after the list had it gone.
#[test_case(include_str!("../scenarios/vast-odd.toml"), 1; "odd lists, and workers that flap, swallow or are full")]
#[test_case(include_str!("../scenarios/vast-zone.toml"), 3; "found: sent anew to a machine that was back")]
fn a_hundred_dispatchers_break_no_rule(text: &str, seed: u64) {
    let tallies = unbroken(text, seed..seed + 1);
    assert!(tallies[0].settled > 6_000, "{tallies:?}");
}

#[test]
fn a_scenario_is_read_as_it_was_written() {
    for seed in 0..50 {
        let drawn = scenario(seed, None);
        assert_eq!(read(&write(&drawn).unwrap()).unwrap(), drawn);
    }
}

const SOUND: &str = include_str!("../scenarios/drain-meets-retry.toml");

#[test_case("kind = \"drain\"", "kind = \"drian\"", "line 40"; "a kind that there is not")]
#[test_case("length_ms", "lenght_ms", "line 4"; "a name that there is not")]
#[test_case("target = 0", "target = 9", "line 38: there is no such worker"; "a worker that there is not")]
#[test_case("dispatchers = 2", "dispatchers = 0", "line 5: 1 to 4096 dispatchers"; "no dispatcher")]
#[test_case("work_ms = [10.0, 30.0]", "work_ms = [30.0, 10.0]", "line 32: work"; "work that ends before it begins")]
fn what_cannot_be_played_is_told_with_its_line(from: &str, to: &str, fault: &str) {
    let told = read(&SOUND.replacen(from, to, 1)).unwrap_err();
    assert!(told.starts_with(fault), "{told}");
}

/// A judge that finds none of them is no judge.
#[cfg(feature = "mutations")]
#[test]
fn every_fault_planted_on_purpose_is_found() {
    let jobs = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    for fault in rosewall_simulation::mutation::all() {
        let found = rosewall_simulation::mutation::find(*fault, 0, 1000, jobs);
        assert!(found.worlds.is_some(), "{fault:?} was not found");
    }
}
