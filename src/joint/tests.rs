use super::*;
use crate::state::Map;
use crate::types::{Endpoint, Event, ListScope, Request};
use test_case::test_case;

const MS: Nanos = 1_000_000;
const SETTINGS: &str = "attempts.max=3 retry_after.allowed=true retry_after.max=2e9 start_notes=true slow_start.from=0.2 \
    slow_start.duration=6e9 overload.multiple=1.5 overload.window=1e9 report.fields=none endpoints.mode=pushed class.count=1 warm_up_grants=true \
    class.0.idempotency=idempotent class.0.retry_scope=all class.0.retry_window=0 class.0.latency_objective=3e8 class.0.priority_weight=1";

fn worker(n: u8) -> WorkerId {
    WorkerId {
        addr: [10, 0, 0, n],
        port: 9,
    }
}

/// One of so many by the settings, with so many workers, the last of which started just after.
fn dispatcher(slots: u16, me: u16, workers: u8, cold: u8) -> Dispatcher {
    let pair = |word: &str| {
        word.split_once('=')
            .map(|(name, value)| (name.to_string(), value.to_string()))
    };
    let mut map: Map = SETTINGS.split_whitespace().filter_map(pair).collect();
    map.insert("dispatchers".into(), slots.to_string());
    map.insert("me".into(), me.to_string());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    let entry = |n: u8| {
        let started = if n + cold >= workers { MS } else { 0 };
        let state = EndpointState::Ready;
        Endpoint {
            worker: worker(n),
            state,
            zone: 0,
            worker_type: 0,
            size: 1.0,
            started,
            group: 0,
        }
    };
    let endpoints = (0..workers).map(entry).collect();
    d.handle(
        MS,
        Event::EndpointList {
            scope: ListScope::Snapshot,
            endpoints,
        },
        &mut Vec::new(),
    );
    d
}

fn seen(d: &mut Dispatcher, place: Option<(u16, u16)>) {
    let position = place.map(|(rank, dispatchers)| FleetPosition { rank, dispatchers });
    d.handle(2 * MS, Event::FleetView(position), &mut Vec::new());
}

/// The workers that each of so many keeps to.
fn hands(members: u16, workers: u8) -> Vec<Vec<usize>> {
    let active = |me: u16| {
        let mut d = dispatcher(members, me, workers, 0);
        seen(&mut d, Some((me, members)));
        d.classes[0].subset.clone()
    };
    (0..members).map(active).collect()
}

#[test_case(5, 12; "few dispatchers, more workers")]
#[test_case(12, 12; "as many of each")]
#[test_case(24, 9; "few workers")]
#[test_case(50, 64; "fifty")]
#[test_case(7, 3; "three workers")]
fn keepers_of_two_workers_differ_by_one_at_most(members: u16, workers: u8) {
    let mut count = vec![0; usize::from(workers)];
    for active in hands(members, workers) {
        let mut apart = active.clone();
        apart.dedup();
        assert_eq!(apart.len(), active.len(), "a worker twice in one hand");
        active.iter().for_each(|at| count[*at] += 1);
    }
    let (least, most) = (count.iter().min().unwrap(), count.iter().max().unwrap());
    assert!(most - least <= 1, "{count:?}");
}

/// Within an octave of members no one else's hand changes; the ranks see to it that one fills the gap.
#[test]
fn one_member_more_or_less_moves_no_other_hand() {
    for (less, more) in [(9, 10), (10, 16), (17, 18)] {
        assert_eq!(hands(less, 20)[..], hands(more, 20)[..usize::from(less)]);
    }
}

#[test]
fn who_is_told_of_a_worker_is_who_keeps_to_it() {
    let hands = hands(13, 10);
    let mut d = dispatcher(13, 4, 10, 0);
    seen(&mut d, Some((4, 13)));
    let m = hands[0].len();
    for place in 0..10 {
        let told: Vec<u16> = d.ranked_peers(place, 10, m).collect();
        let keep = (0..13_u16).filter(|to| *to != 4 && hands[usize::from(*to)].contains(&place));
        assert_eq!(told, keep.collect::<Vec<_>>());
    }
}

/// Whatever each believes of who runs, and whatever its clock says: all parts kept without asking, those of dispatchers
/// beyond the settings' number too, and what is given come to less than the rule.
#[test_case(&[true; 12], 0.65; "all know each other")]
#[test_case(&[false; 12], 0.95; "none has met another")]
#[test_case(&[true, false, true, false, true, false, true, false, true, false, true, false], 0.95; "every other")]
fn parts_and_what_is_given_keep_the_rule(met: &[bool], most: f64) {
    for at in 0..10 {
        let (mut sum, now) = (0.0, 3_000 * MS);
        for (me, met) in met.iter().enumerate() {
            // Views differ, and more run than the settings know of.
            for me in [me as u16, me as u16 + 12] {
                let mut d = dispatcher(12, me, 10, 10);
                if *met {
                    seen(&mut d, Some((0, 1 + me)));
                }
                let worker = &d.workers[at];
                let (part, mine) = d.reserved_allowance(worker, now);
                sum += if mine > 0.0 { part } else { 0.0 } / d.warm_up_capacity(worker, now);
            }
        }
        assert!(sum > 0.0 && sum + GRANTED_SHARE <= most + 1e-9, "{sum}");
    }
}

#[test]
fn a_part_is_not_kept_in_the_first_window_of_a_process() {
    let holds = |at: Nanos| {
        (0..4).any(|me| {
            dispatcher(4, me, 1, 1)
                .reserved_allowance(&dispatcher(4, me, 1, 1).workers[0], at)
                .1
                > 0.0
        })
    };
    assert_eq!((holds(999 * MS), holds(1_000 * MS)), (false, true));
}

#[test]
fn a_right_is_spent_once_and_ends() {
    let mut d = dispatcher(12, 0, 2, 1);
    for (work, until) in [(50, 200), (30, 100)] {
        d.handle(
            2 * MS,
            Event::WarmUpGranted {
                worker: worker(1),
                work: work * MS,
                until: until * MS,
            },
            &mut Vec::new(),
        );
    }
    let w = &mut d.workers[1];
    let ms = |work: f64| (work / 1e6).round() as i64;
    assert_eq!(ms(w.unused_grants(50 * MS)), 80);
    // That which ends first goes first; what is not covered is left.
    assert_eq!(
        (
            ms(w.consume_grants(50 * MS, 40e6)),
            ms(w.unused_grants(50 * MS)),
            ms(w.unused_grants(150 * MS))
        ),
        (0, 40, 40)
    );
    assert_eq!(
        (
            ms(w.consume_grants(50 * MS, 60e6)),
            ms(w.unused_grants(50 * MS))
        ),
        (20, 0)
    );
    d.handle(
        60 * MS,
        Event::WarmUpGranted {
            worker: worker(1),
            work: MS,
            until: 100 * MS,
        },
        &mut Vec::new(),
    );
    assert_eq!(d.workers[1].unused_grants(100 * MS), 0.0);
}

fn arrive(d: &mut Dispatcher, now: Nanos) -> Vec<Action> {
    let request = Request {
        id: 1,
        class: 0,
        tenant: 0,
        hint: Some(60 * MS),
        slots: 1.0,
        memory: 0.0,
        deadline: now + 900 * MS,
    };
    let mut acts = Vec::new();
    d.handle(now, Event::RequestArrived(request), &mut acts);
    acts
}

/// It asks once and waits; with the right it goes there, without one it is declined or goes elsewhere, at once after.
#[test_case(true => true; "the right comes")]
#[test_case(false => false; "nothing comes")]
fn a_request_waits_once_for_a_right_to_a_cold_worker(comes: bool) -> bool {
    let mut d = (0..4)
        .map(|me| dispatcher(4, me, 1, 1))
        .find(|d| d.reserved_allowance(&d.workers[0], 2_000 * MS).1 == 0.0)
        .unwrap();
    seen(&mut d, Some((1, 4)));
    let now = 2_000 * MS;
    let acts = arrive(&mut d, now);
    let [
        Action::RequestWarmUpGrant { worker: of, work },
        Action::SetTimer { at, token },
    ] = acts[..]
    else {
        panic!("{acts:?}")
    };
    assert_eq!((of, work, at), (worker(0), 60 * MS, now + 5 * MS));
    if comes {
        d.handle(
            now + MS,
            Event::WarmUpGranted {
                worker: of,
                work,
                until: now + 90 * MS,
            },
            &mut Vec::new(),
        );
    }
    let mut acts = Vec::new();
    d.handle(at, Event::TimerFired { token }, &mut acts);
    assert!(
        !acts
            .iter()
            .any(|act| matches!(act, Action::RequestWarmUpGrant { .. })),
        "asked twice: {acts:?}"
    );
    acts.iter()
        .any(|act| matches!(act, Action::SendAttempt { .. }))
}

#[test]
fn without_a_view_the_settings_count_again() {
    let mut d = dispatcher(12, 5, 20, 0);
    seen(&mut d, Some((0, 3)));
    seen(&mut d, None);
    assert_eq!((d.rank, d.dispatchers), (5, 12.0));
}

#[test]
fn what_may_be_given_follows_the_warmth_of_a_window_ago_and_ends() {
    let d = dispatcher(12, 0, 2, 1);
    let joint = |now: Nanos| {
        let mut acts = Vec::new();
        d.update_warm_up_budgets(now, &mut acts);
        acts.iter().find_map(|act| match act {
            Action::SetWarmUpBudget {
                worker: of, work, ..
            } if *of == worker(1) => Some(work / MS),
            _ => None,
        })
    };
    // Half of 1.5 times two seats for a second, of which a fifth at first.
    assert_eq!(
        (
            joint(500 * MS),
            joint(4_001 * MS),
            joint(6_500 * MS),
            joint(12_000 * MS)
        ),
        (Some(300), Some(900), Some(0), None)
    );
}
