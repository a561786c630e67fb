use super::{Dispatcher, GRANTED_SHARE};
use crate::pcg::Pcg;
use crate::policy::test_support::{
    MS, among, dispatcher, ended, entry, grant_dispatcher, handle, id, numbered, request, set_view,
    settings, starts_of_late, warm,
};
use crate::settings::Idempotency::Idempotent;
use crate::state::RequestState::InFlight;
use crate::state::{ActiveRequest, Attempt, RequestDemand, RunningMean, SentWork};
use crate::time::SECOND;
use crate::types::{
    Action, AttemptEnded, Endpoint, EndpointState, Event, ListScope, Nanos, Outcome, Report,
    Request,
};
use test_case::test_case;

fn sent_work(at_ms: Nanos, work: f64) -> SentWork {
    SentWork {
        at: at_ms * MS,
        work,
    }
}

/// Guards against a cold worker pushed over by all together, and against parts of its budget in which no job fits.
#[test_case(0, 0, 2_000 => 20; "a warm worker takes all")]
#[test_case(100, 0, 2_000 => 1; "a cold one what fits into this one's part")]
#[test_case(100, 3, 2_000 => 0; "nothing in others' turn")]
#[test_case(100, 0, 1_000 => 0; "nor in the rest before each turn")]
#[test_case(100, 3, 7_000 => 1; "more take turns at once as it warms")]
fn budget_of_a_cold_worker(started: Nanos, me: u32, at: Nanos) -> usize {
    let mut d = among(12, me, Vec::new());
    d.classes[0].settings.latency_objective = 90.0 * SECOND;
    let endpoints = vec![entry(0, EndpointState::Ready, started * MS)];
    handle(
        &mut d,
        started * MS,
        Event::EndpointList {
            scope: ListScope::Delta,
            endpoints,
        },
    );
    let one = |n| Request {
        deadline: 99_000 * MS,
        ..request(n, 0, 300 * MS, at * MS)
    };
    let posts = (0..20).map(|n| handle(&mut d, at * MS, Event::RequestArrived(one(n))));
    posts
        .flatten()
        .filter(|act| matches!(act, Action::SendAttempt { .. }))
        .count()
}

/// Guards against a budget spent twice by a restart, and against an idle cold worker taken for as busy as the fleet.
#[test_case(2_000, 0.0 => false; "this window may have been spent before")]
#[test_case(3_100, 0.0 => true; "the next one is its own")]
#[test_case(3_100, 1.5 => true; "also while the fleet is jammed")]
fn a_cold_worker_after_a_restart(at: Nanos, start_delay: f64) -> bool {
    let mut d = Dispatcher::start(0, 7, &settings()).unwrap();
    let endpoints = vec![entry(0, EndpointState::Ready, 100 * MS)];
    handle(
        &mut d,
        2_000 * MS,
        Event::EndpointList {
            scope: ListScope::Cached,
            endpoints,
        },
    );
    starts_of_late(&mut d, at * MS, start_delay, 32);
    !handle(
        &mut d,
        at * MS,
        Event::RequestArrived(request(1, 0, 20 * MS, at * MS)),
    )
    .is_empty()
        && d.requests
            .iter()
            .any(|(_, active)| active.attempts_sent == 1)
}

/// Most of a large fleet is replaced at once. Guards against parts of a cold worker's budget in which no job fits,
/// against ones that use the old and leave the new alone, and against more than the rule allows from all together.
#[test_case(100, 60, 36, 0.25; "most of the workers")]
#[test_case(4, 10, 2, 0.05; "a few of each")]
fn cold_workers_get_their_work_from_all_together(
    dispatchers: u32,
    workers: u8,
    replaced: u8,
    least: f64,
) {
    let started = 50_000 * MS;
    let list: Vec<Endpoint> = (0..workers)
        .map(|n| {
            entry(
                n,
                EndpointState::Ready,
                if n < replaced { started } else { 0 },
            )
        })
        .collect();
    let mut sent: Vec<(u8, Nanos, f64)> = Vec::new();
    for me in 0..dispatchers {
        let (mut d, mut dice) = (
            among(dispatchers, me, warm(workers)),
            Pcg::new(u64::from(me)),
        );
        let mut hint = || (20.0 + dice.unit() * 140.0) as Nanos * MS;
        (0..60).for_each(|_| d.classes[0].record_request(hint() as f64));
        handle(
            &mut d,
            started,
            Event::EndpointList {
                scope: ListScope::Snapshot,
                endpoints: list.clone(),
            },
        );
        for n in 100..120 {
            let (now, hint) = (
                started + u64::from(n - 100) * 200 * MS + u64::from(me) * MS,
                hint(),
            );
            for act in handle(&mut d, now, Event::RequestArrived(request(n, 0, hint, now))) {
                let Action::SendAttempt { worker, request_id } = act else {
                    continue;
                };
                sent.push((worker.addr[3], now, hint as f64 / SECOND));
                let (outcome, report) = (Outcome::Succeeded, Report::default());
                handle(
                    &mut d,
                    now,
                    Event::AttemptEnded(AttemptEnded {
                        request_id,
                        attempt_index: 0,
                        outcome,
                        complete: true,
                        report,
                    }),
                );
            }
        }
    }
    let work = |n: u8, from: Nanos| {
        let within =
            |(m, at, _): &&(u8, Nanos, f64)| *m == n && (from..from + 1_000 * MS).contains(at);
        sent.iter()
            .filter(within)
            .map(|(_, _, work)| work)
            .sum::<f64>()
    };
    let all: f64 = (0..replaced)
        .flat_map(|n| (0..4).map(move |s| (n, s)))
        .map(|(n, s)| work(n, started + s * 1_000 * MS))
        .sum();
    // What they can do at their coldest: two seats at a fifth of their speed.
    let most = 2.0 * 0.2 * 4.0 * f64::from(replaced);
    assert!(
        all > least * most,
        "cold workers got {all} s of {most} s of work"
    );
    for n in 0..replaced {
        for from in (0..30).map(|part| started + part * 100 * MS) {
            let warmth = 0.2 + 0.8 * (from - started) as f64 / 10e9;
            assert!(
                work(n, from) < 3.0 * 2.0 * warmth,
                "cold worker {n} pushed over"
            );
        }
    }
}

/// Guards against a budget counted for twelve that all keep to who tell each other, however many share.
#[test]
fn a_cold_workers_budget_is_kept_by_all_who_share_it() {
    for at in (0..60_u64).map(|part| part * 500 * MS) {
        let mut keepers: Vec<Dispatcher> = (0..130).map(|me| numbered(me, 130, 34)).collect();
        keepers.retain(|d| d.classes[0].subset.contains(&9));
        let budget = |d: &mut Dispatcher| {
            d.workers[9].started_at = 1;
            d.update_fleet_estimates(at);
            d.warm_up_allowance(&d.workers[9], at).max(0.0)
        };
        let (sum, warmth) = (
            keepers.iter_mut().map(budget).sum::<f64>(),
            0.2 + 0.8 * at as f64 / 10e9,
        );
        assert!(
            warmth >= 1.0 || sum <= 3.0 * 2.0 * warmth * SECOND,
            "{sum} at {at}"
        );
    }
}

/// Guards against taking a kind for slow whose first jobs ran on cold workers, and a cold one for as fast as hints say:
/// where no worker is warm, its budget rests on its pace.
#[test]
fn a_cold_worker_tells_its_own_pace_a_little() {
    let mut d = dispatcher(1);
    d.workers[0].started_at = 1;
    let attempt = Attempt {
        started_at: Some(MS),
        in_flight: true,
        ..Attempt::default()
    };
    let demand = RequestDemand {
        work: 1e8,
        service_time: 1e8,
        slots_required: 1.0,
    };
    let mut active = ActiveRequest::new(request(1, 0, 100 * MS, 0), Idempotent, demand, 500 * MS);
    active.state = InFlight;
    active.push_attempt(attempt);
    let key = d.requests.insert(active);
    d.request_keys.insert(1, key);
    handle(&mut d, 400 * MS, ended(1, 0, Outcome::Succeeded));
    assert!(
        (1.1..1.4).contains(&d.workers[0].service_time_factor) && d.worker_type_factors.is_empty(),
        "{}",
        d.workers[0].service_time_factor
    );
}

/// Guards against a fresh budget on top of what went to a new process before its start was told, answered by then or not.
#[test_case(500, None => 1; "posted after the start")]
#[test_case(500, Some(600) => 1; "and settled since")]
#[test_case(50, None => 0; "to the process before")]
#[test_case(50, Some(60) => 0; "to the process before, and settled since")]
fn a_cold_workers_budget_holds_what_went_there_unknowing(
    attempts_sent: Nanos,
    settled: Option<Nanos>,
) -> usize {
    let mut d = dispatcher(1);
    handle(
        &mut d,
        attempts_sent * MS,
        Event::RequestArrived(request(1, 2, 100 * MS, attempts_sent * MS)),
    );
    settled
        .into_iter()
        .for_each(|at| drop(handle(&mut d, at * MS, ended(1, 0, Outcome::Succeeded))));
    let endpoints = vec![entry(0, EndpointState::Ready, 100 * MS)];
    handle(
        &mut d,
        900 * MS,
        Event::EndpointList {
            scope: ListScope::Delta,
            endpoints,
        },
    );
    d.workers[0]
        .recent_work
        .iter()
        .filter(|sent| **sent == sent_work(attempts_sent, 1e8))
        .count()
}

/// Guards against a fresh budget at a second birth: what was sent while the first was known may have gone to the second.
#[test]
fn a_cold_worker_that_is_born_again_keeps_what_it_got_since() {
    let mut d = dispatcher(1);
    d.workers[0].started_at = 90 * MS;
    d.workers[0].recent_work = [sent_work(95, 1e8), sent_work(500, 2e8)].into();
    let endpoints = vec![entry(0, EndpointState::Ready, 100 * MS)];
    handle(
        &mut d,
        900 * MS,
        Event::EndpointList {
            scope: ListScope::Delta,
            endpoints,
        },
    );
    assert_eq!(d.workers[0].recent_work, [sent_work(500, 2e8)]);
}

/// Guards against cold workers left idle: a kind's pace for workers not yet seen is no sign of less capacity.
#[test]
fn full_capacity_goes_by_the_pace_of_own_jobs() {
    let mut d = dispatcher(2);
    d.workers
        .iter_mut()
        .for_each(|worker| worker.service_time_factor = 3.0);
    d.update_fleet_estimates(MS);
    let unobserved_share = d.capacity_per_size;
    d.workers
        .iter_mut()
        .for_each(|worker| worker.factor_samples = 1.0);
    d.update_fleet_estimates(MS);
    assert_eq!((unobserved_share, d.capacity_per_size * 3.0), (1.0, 1.0));
}

/// Guards against a cold worker pushed over by requests that run longer than those before: without a hint each counts twice.
#[test_case(Some(100 * MS) => 3; "of a known size")]
#[test_case(None => 1; "of none, taken for as much")]
fn a_cold_worker_gets_fewer_of_unknown_size(hint: Option<Nanos>) -> usize {
    let mut d = among(12, 0, Vec::new());
    d.classes[0].settings.latency_objective = 90.0 * SECOND;
    d.classes[0].service_times = RunningMean {
        mean: 1e8,
        samples: 1.0,
    };
    let endpoints = vec![entry(0, EndpointState::Ready, 100 * MS)];
    handle(
        &mut d,
        100 * MS,
        Event::EndpointList {
            scope: ListScope::Delta,
            endpoints,
        },
    );
    let one = |n| Request {
        hint,
        deadline: 99_000 * MS,
        ..request(n, 0, 0, 2_000 * MS)
    };
    let posts = (0..20).map(|n| handle(&mut d, 2_000 * MS, Event::RequestArrived(one(n))));
    posts
        .flatten()
        .filter(|act| matches!(act, Action::SendAttempt { .. }))
        .count()
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
                let mut d = grant_dispatcher(12, me, 10, 10);
                if *met {
                    set_view(&mut d, Some((0, 1 + me)));
                }
                let worker = &d.workers[at];
                let turn = d.reserved_allowance(worker, now);
                let part = if turn.represented_dispatchers > 0.0 {
                    turn.allowance
                } else {
                    0.0
                };
                sum += part / d.warm_up_capacity(worker, now);
            }
        }
        assert!(sum > 0.0 && sum + GRANTED_SHARE <= most + 1e-9, "{sum}");
    }
}

#[test]
fn a_part_is_not_kept_in_the_first_window_of_a_process() {
    let holds = |at: Nanos| {
        (0..4).any(|me| {
            grant_dispatcher(4, me, 1, 1)
                .reserved_allowance(&grant_dispatcher(4, me, 1, 1).workers[0], at)
                .represented_dispatchers
                > 0.0
        })
    };
    assert_eq!((holds(999 * MS), holds(1_000 * MS)), (false, true));
}

#[test]
fn a_right_is_spent_once_and_ends() {
    let mut d = grant_dispatcher(12, 0, 2, 1);
    for (work, until) in [(50, 200), (30, 100)] {
        d.handle(
            2 * MS,
            Event::WarmUpGranted {
                worker: id(1),
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
            worker: id(1),
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
        .map(|me| grant_dispatcher(4, me, 1, 1))
        .find(|d| {
            d.reserved_allowance(&d.workers[0], 2_000 * MS)
                .represented_dispatchers
                == 0.0
        })
        .unwrap();
    set_view(&mut d, Some((1, 4)));
    let now = 2_000 * MS;
    let acts = arrive(&mut d, now);
    let [
        Action::RequestWarmUpGrant { worker: of, work },
        Action::SetTimer { at, token },
    ] = acts[..]
    else {
        panic!("{acts:?}")
    };
    assert_eq!((of, work, at), (id(0), 60 * MS, now + 5 * MS));
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
fn what_may_be_given_follows_the_warmth_of_a_window_ago_and_ends() {
    let d = grant_dispatcher(12, 0, 2, 1);
    let joint = |now: Nanos| {
        let mut acts = Vec::new();
        d.update_warm_up_budgets(now, &mut acts);
        acts.iter().find_map(|act| match act {
            Action::SetWarmUpBudget {
                worker: of, work, ..
            } if *of == id(1) => Some(work / MS),
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
