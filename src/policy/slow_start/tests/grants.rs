//! Tests of warm-up grants and of the allowances that are reserved in addition to them.
use crate::policy::Dispatcher;
use crate::policy::slow_start::GRANTED_FRACTION;
use crate::policy::test_support::{MS, granting_dispatcher, set_fleet_view, worker_id};
use crate::types::{Action, Event, Nanos, Request};
use test_case::test_case;

/// Holds for any fleet view of each dispatcher, and with more dispatchers than configured.
#[test_case(&[true; 12], 0.65; "all have a fleet view")]
#[test_case(&[false; 12], 0.95; "none has had a fleet view")]
#[test_case(&[true, false, true, false, true, false, true, false, true, false, true, false], 0.95; "every other")]
fn reserved_and_granted_fractions_together_keep_the_budget(has_view: &[bool], limit: f64) {
    for index in 0..10 {
        let now = 3_000 * MS;
        let mut sum = 0.0;
        for (rank, has_view) in has_view.iter().enumerate() {
            // Fleet views differ, and more dispatchers run than configured.
            for rank in [rank as u16, rank as u16 + 12] {
                let mut d = granting_dispatcher(12, rank, 10, 10);
                if *has_view {
                    set_fleet_view(&mut d, Some((0, 1 + rank)));
                }
                let worker = &d.workers[index];
                let allowance = d.reserved_allowance(worker, now);
                let reserved = if allowance.represented_dispatchers > 0.0 {
                    allowance.work
                } else {
                    0.0
                };
                sum += reserved / d.warm_up_capacity(worker, now);
            }
        }
        assert!(sum > 0.0 && sum + GRANTED_FRACTION <= limit + 1e-9, "{sum}");
    }
}

#[test]
fn nothing_is_reserved_in_the_first_window_of_a_process() {
    let is_reserved = |now: Nanos| {
        (0..4).any(|rank| {
            granting_dispatcher(4, rank, 1, 1)
                .reserved_allowance(&granting_dispatcher(4, rank, 1, 1).workers[0], now)
                .represented_dispatchers
                > 0.0
        })
    };
    assert_eq!(
        (is_reserved(999 * MS), is_reserved(1_000 * MS)),
        (false, true)
    );
}

/// Delivers a grant for worker 1. Times are in milliseconds.
fn grant(d: &mut Dispatcher, now_ms: Nanos, work_ms: Nanos, until_ms: Nanos) {
    let event = Event::WarmUpGranted {
        worker: worker_id(1),
        work: work_ms * MS,
        until: until_ms * MS,
    };
    d.handle(now_ms * MS, event, &mut Vec::new());
}

fn ms(work: f64) -> i64 {
    (work / 1e6).round() as i64
}

#[test]
fn a_grant_is_used_once_and_expires() {
    let mut d = granting_dispatcher(12, 0, 2, 1);
    grant(&mut d, 2, 50, 200);
    grant(&mut d, 2, 30, 100);
    let worker = &mut d.workers[1];
    assert_eq!(ms(worker.unused_grants(50 * MS)), 80);

    // The grant that expires first is used first.
    assert_eq!(ms(worker.consume_grants(50 * MS, 40e6).uncovered_work), 0);
    assert_eq!(ms(worker.unused_grants(50 * MS)), 40);
    assert_eq!(ms(worker.unused_grants(150 * MS)), 40);

    // Work that the grants do not cover is returned.
    assert_eq!(ms(worker.consume_grants(50 * MS, 60e6).uncovered_work), 20);
    assert_eq!(ms(worker.unused_grants(50 * MS)), 0);

    grant(&mut d, 60, 1, 100);
    assert_eq!(d.workers[1].unused_grants(100 * MS), 0.0);
}

fn send_hinted_request(d: &mut Dispatcher, now: Nanos) -> Vec<Action> {
    let request = Request {
        id: 1,
        class: 0,
        tenant: 0,
        hint: Some(60 * MS),
        slots: 1.0,
        memory: 0.0,
        deadline: now + 900 * MS,
    };
    let mut actions = Vec::new();
    d.handle(now, Event::RequestArrived(request), &mut actions);
    actions
}

#[test_case(true => true; "the grant arrives")]
#[test_case(false => false; "no grant arrives")]
fn a_request_waits_once_for_a_warm_up_grant(is_granted: bool) -> bool {
    let mut d = (0..4)
        .map(|rank| granting_dispatcher(4, rank, 1, 1))
        .find(|d| {
            d.reserved_allowance(&d.workers[0], 2_000 * MS)
                .represented_dispatchers
                == 0.0
        })
        .unwrap();
    set_fleet_view(&mut d, Some((1, 4)));
    let now = 2_000 * MS;
    let actions = send_hinted_request(&mut d, now);
    let [
        Action::RequestWarmUpGrant { worker, work },
        Action::SetTimer { at, token },
    ] = actions[..]
    else {
        panic!("{actions:?}")
    };
    assert_eq!((worker, work, at), (worker_id(0), 60 * MS, now + 5 * MS));
    if is_granted {
        d.handle(
            now + MS,
            Event::WarmUpGranted {
                worker,
                work,
                until: now + 90 * MS,
            },
            &mut Vec::new(),
        );
    }
    let mut actions = Vec::new();
    d.handle(at, Event::TimerFired { token }, &mut actions);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::RequestWarmUpGrant { .. })),
        "requested twice: {actions:?}"
    );
    actions
        .iter()
        .any(|action| matches!(action, Action::SendAttempt { .. }))
}

#[test]
fn the_grantable_budget_follows_the_slow_start_factor_and_ends_with_the_warm_up() {
    let d = granting_dispatcher(12, 0, 2, 1);
    let budget_ms = |now: Nanos| {
        let mut actions = Vec::new();
        d.update_warm_up_budgets(now, &mut actions);
        actions.iter().find_map(|action| match action {
            Action::SetWarmUpBudget { worker, work, .. } if *worker == worker_id(1) => {
                Some(work / MS)
            }
            _ => None,
        })
    };
    // Half of 1.5 times two slots for a second, at a slow-start factor of one fifth.
    assert_eq!(budget_ms(500 * MS), Some(300));
    assert_eq!(budget_ms(4_001 * MS), Some(900));
    assert_eq!(budget_ms(6_500 * MS), Some(0));
    assert_eq!(budget_ms(12_000 * MS), None);
}
