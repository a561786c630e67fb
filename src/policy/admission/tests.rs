use super::{Dispatcher, Selection};
use crate::policy::test_support::{
    MS, among, dispatcher, ended, handle, overdue_request, request, settings, starts_of_late, warm,
};
use crate::time::SECOND;
use crate::types::{Action, Event, Nanos, Outcome, Request, RequestId};
use test_case::test_case;

/// A worker at which a request would wait for so long, and for such a part of its time to spare.
fn waiting(wait: f64, strain: f64) -> Selection {
    Selection {
        worker: 0,
        wait,
        strain,
    }
}

#[test_case(0.5, 2 => true; "room to spare")]
#[test_case(2.1, 2 => false; "would come late")]
#[test_case(1.99, 0 => false; "cheap ones go first")]
fn turned_away(strain: f64, class: u8) -> bool {
    let mut d = dispatcher(1);
    let key = d.requests.insert(overdue_request(request(1, class, MS, 0)));
    d.admit(0, key, waiting(0.0, strain))
}

/// Guards against a jam that stays: between two rare starts the late ones were forgotten.
#[test_case(1.0 => true; "where many are seen")]
#[test_case(5.0 => false; "where few are")]
fn late_starts_are_forgotten_in_two_seconds(rarity: f64) -> bool {
    let mut d = dispatcher(1);
    d.rarity = rarity;
    starts_of_late(&mut d, 10_000 * MS, 0.0, 32);
    let key = d.requests.insert(overdue_request(request(1, 2, MS, 0)));
    (0..20).all(|_| d.admit(13_000 * MS, key, waiting(0.0, 0.6)))
}

/// Guards against queues that long rooms can bear and in which nothing of more value can be in time.
#[test_case(0, 0.0 => true; "the dearest are taken")]
#[test_case(0, 0.9 => false; "the dearest are turned away")]
#[test_case(2, 0.9 => true; "itself the dearest")]
fn the_room_of_dearer_schemes_counts(class: u8, rejected_share: f64) -> bool {
    let mut d = dispatcher(1);
    (0..5).for_each(|_| d.classes[2].record_request(100e6));
    d.rejected_share = rejected_share;
    let key = d.requests.insert(overdue_request(request(1, class, MS, 0)));
    // A second's wait: half of its own room, two and a half times theirs.
    d.admit(0, key, waiting(SECOND, 0.5))
}

/// Guards against a burst that fills all queues before the first start tells of them: each dispatcher tried all eight of its
/// lanes first, for ten seconds all that was sent was late, and classes wanted soon were hardly served. None of these starts.
#[test_case(250 => true; "four a second")]
#[test_case(500 => true; "two a second")]
fn a_burst_is_turned_away_before_any_of_it_has_started(gap: Nanos) -> bool {
    let mut d = among(300, 0, warm(200));
    let sent = |id: &RequestId| {
        let now = (10_000 + Nanos::from(*id) * gap) * MS;
        let acts = handle(
            &mut d,
            now,
            Event::RequestArrived(request(*id, 2, 100 * MS, now)),
        );
        matches!(acts[..], [Action::SendAttempt { .. }])
    };
    let sent = (0..16).filter(sent).count();
    (2..=5).contains(&sent)
}

/// Two classes of like worth: one wanted within 0.3 s, one within 3 s, of which the first is seen.
fn short_beside_long(basis: &str, short_value: f64) -> Dispatcher {
    let mut map = settings();
    let value = short_value.to_string();
    for (name, value) in [
        ("class.2.latency_objective", "3e9"),
        ("class.0.priority_weight", value.as_str()),
        ("priority_weight.basis", basis),
    ] {
        map.insert(name.into(), value.into());
    }
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    d.classes[0].record_request(1e8);
    d.classes[2].record_request(1e9);
    d
}

/// How many of 100 requests of a class are kept that would wait for 0.8 s where all of the dearest are turned away.
fn kept_of_100(mut d: Dispatcher, class: u8) -> usize {
    let room = if class == 2 { 4e9 } else { 4e8 };
    let active = overdue_request(request(1, class, MS, 0));
    let key = d.requests.insert(active);
    let kept = |_: &usize| {
        d.rejected_share = 1.0;
        d.admit(0, key, waiting(0.8e9, 0.8e9 / room))
    };
    (0..100).filter(kept).count()
}

/// Guards against the class with the longest time to spare as the only one that is served: its requests were kept while the
/// queue was longer than any other class can bear, in bursts of a whole fleet for ten seconds on end.
#[test_case(8.0 => true; "as dear: held back")]
#[test_case(0.1 => false; "of next to no worth: not for its sake")]
fn a_class_that_can_wait_leaves_room_for_one_that_cannot(short_value: f64) -> bool {
    kept_of_100(short_beside_long("work", short_value), 2) < 60
}

/// Guards against long requests taken for dearer than short ones that bring more for the same work.
#[test_case("work", 1.0 => 9.0; "each unit of work counts the same")]
#[test_case("request", 1.0 => 0.9; "ten times the work for one request")]
fn worth_goes_by_what_the_settings_reckon_by(basis: &str, short_value: f64) -> f64 {
    let d = short_beside_long(basis, short_value);
    let ratio = d.classes[2].weight_per_work(d.settings.weight_basis)
        / d.classes[0].weight_per_work(d.settings.weight_basis);
    (ratio * 1e6).round() / 1e6
}

/// Guards against a jam kept up: where starts are late, what a slow worker leaves of a request's room is what counts.
#[test_case(0 => true; "no start late: sent")]
#[test_case(9 => false; "those of late: turned away")]
fn a_slow_worker_with_a_queue_takes_less_where_starts_are_late(late: u32) -> bool {
    let now = 10_000 * MS;
    let mut d = dispatcher(1);
    let worker = &mut d.workers[0];
    // Of 600 ms of room its pace leaves 100; a wait of 200 ms.
    (
        worker.service_time_factor,
        worker.factor_samples,
        worker.start_delay,
        worker.start_delay_at,
    ) = (2.6, 9.0, 200.0 * 1e6, now);
    d.unobserved_share = 0.0;
    starts_of_late(&mut d, now, 0.0, late);
    let acts = handle(
        &mut d,
        now,
        Event::RequestArrived(request(1, 0, 300 * MS, now)),
    );
    matches!(acts[..], [Action::SendAttempt { .. }])
}

/// Guards against turning requests away on a quiet day, as a slow worker leaves them little room: that is no queue.
#[test]
fn what_a_slow_worker_makes_late_is_no_overload() {
    let mut d = dispatcher(1);
    d.workers[0].service_time_factor = 4.0;
    for id in 1..=20 {
        let now = u64::from(id) * 1_000 * MS;
        let acts = handle(
            &mut d,
            now,
            Event::RequestArrived(request(id, 0, 300 * MS, now)),
        );
        assert!(matches!(acts[..], [Action::SendAttempt { .. }]), "{acts:?}");
        handle(
            &mut d,
            now + MS,
            Event::AttemptStarted {
                request_id: id,
                attempt_index: 0,
            },
        );
        handle(&mut d, now + 900 * MS, ended(id, 0, Outcome::Succeeded));
    }
    assert_eq!(d.start_delays.congestion(21_000 * MS, 1.0).late, 0.0);
}

/// Guards against small requests turned away for the waits that large ones can bear.
#[test_case(10_000, 5_000 => true; "half of a large room")]
#[test_case(100, 5_000 => false; "many of a small room")]
fn delays_count_by_the_room_they_fill(hint: Nanos, wait: Nanos) -> bool {
    let mut d = dispatcher(1);
    drop(handle(
        &mut d,
        MS,
        Event::RequestArrived(Request {
            deadline: 60_000 * MS,
            ..request(1, 0, hint * MS, 0)
        }),
    ));
    handle(
        &mut d,
        wait * MS,
        Event::AttemptStarted {
            request_id: 1,
            attempt_index: 0,
        },
    );
    d.start_delays.congestion(wait * MS, 1.0).delay < 0.2
}
