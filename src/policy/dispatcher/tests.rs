use crate::pcg::Pcg;
use crate::policy::lifecycle::classify_outcome;
use crate::policy::test_support::{MS, among, dispatcher, entry, handle, id, request, warm};
use crate::state::RequestInput;
use crate::time::SECOND;
use crate::timers::attempt_timer;
use crate::types::{
    Action, AttemptEnded, Endpoint, EndpointState, Event, ListScope, Nanos, Outcome, PeerLoad,
    Report, RequestId, WorkerId,
};
use std::collections::BTreeMap;
use test_case::test_case;

#[test]
fn no_worker_declines_only_when_it_can_no_longer_be_in_time() {
    let mut d = dispatcher(0);
    assert!(handle(&mut d, 0, Event::RequestArrived(request(1, 2, 100 * MS, 0))).is_empty());
    let acts = handle(
        &mut d,
        450 * MS,
        Event::TimerFired {
            token: attempt_timer(1, 0),
        },
    );
    assert!(matches!(acts[..], [Action::Reject { request_id: 1, .. }]));
}

/// Sizes at which a division by nothing or a place past the end would show.
#[test_case(0, 1; "no worker")]
#[test_case(1, 1; "one of each")]
#[test_case(1, 1_000; "one worker of a thousand dispatchers")]
#[test_case(1_000, 1; "a thousand workers of one dispatcher")]
#[test_case(1_000, 1_000; "a thousand of each")]
#[test_case(4_096, 4_096; "four thousand of each")]
fn any_size_of_fleet(workers: u16, dispatchers: u32) {
    let listed = |n: u16| Endpoint {
        worker: WorkerId {
            addr: [10; 4],
            port: n,
        },
        ..entry(0, EndpointState::Ready, 0)
    };
    let mut d = among(
        dispatchers,
        dispatchers - 1,
        (0..workers).map(listed).collect(),
    );
    let acts: Vec<Action> = (1..40)
        .flat_map(|n| handle(&mut d, 0, Event::RequestArrived(request(n, 2, 100 * MS, 0))))
        .collect();
    let (attempts_sent, wanted) = (
        acts.iter()
            .any(|act| matches!(act, Action::SendAttempt { .. })),
        workers > 0,
    );
    assert!(attempts_sent == wanted && d.classes[2].subset.len() <= usize::from(workers));
}

/// What a long sequence remembers of one request, to hold the rules against.
#[derive(Default)]
struct Record {
    class: u8,
    deadline: Nanos,
    answers: usize,
    out: Vec<(u8, usize, Nanos)>,
    sent: u8,
    first_doubt: Option<(usize, Nanos)>,
}

/// Legal events in random order; every action is held against the four rules.
#[test_case(1, 6, 2)]
#[test_case(2, 6, 2)]
#[test_case(3, 6, 2)]
#[test_case(4, 1, 2; "one worker")]
#[test_case(5, 200, 600; "a large fleet")]
#[test_case(6, 60, 100; "cold starts at most of the workers kept to")]
#[test_case(7, 6, 2; "with messages of any kind")]
#[test_case(8, 60, 100; "with messages, a large fleet")]
fn the_four_rules_hold(seed: u64, workers: u8, dispatchers: u32) {
    let (mut dice, mut acts) = (Pcg::new(seed), Vec::new());
    let mut d = among(dispatchers, 0, warm(workers));
    d.exchanges_load = seed > 6;
    d.select_subsets(0);
    let fleet = usize::from(workers);
    let (mut state, mut started) = (vec![EndpointState::Ready; fleet], vec![0; fleet]);
    let mut timers: Vec<(Nanos, u64)> = Vec::new();
    let mut requests: BTreeMap<RequestId, Record> = BTreeMap::new();
    let (mut cold, mut unit): (Vec<(usize, Nanos, f64)>, f64) = (Vec::new(), 0.0);
    for step in 1..6_000_u32 {
        let now = u64::from(step) * 10 * MS;
        let mut events = Vec::new();
        if dice.unit() < 0.02 {
            let kept = &d.classes[0].subset;
            let any = (dice.unit() * f64::from(workers)) as usize;
            let n = if fleet > 6 && !kept.is_empty() {
                kept[any % kept.len()]
            } else {
                any
            };
            state[n] = [
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ][(dice.unit() * 3.0) as usize];
            started[n] = if state[n] == EndpointState::Ready {
                now
            } else {
                started[n]
            };
            let endpoints = vec![entry(n as u8, state[n], started[n])];
            events.push(Event::EndpointList {
                scope: ListScope::Delta,
                endpoints,
            });
        }
        // Untrue, repeated, of workers that are not there, out of order: no rule rests on them.
        while d.exchanges_load && dice.unit() < 0.6 {
            let [from, n, half_slots, work, speed_code] = [
                f64::from(dispatchers),
                f64::from(workers) + 2.0,
                6.0,
                300.0,
                256.0,
            ]
            .map(|work_below| (dice.unit() * work_below) as u16);
            let load = PeerLoad {
                worker: id(n as u8),
                half_slots: half_slots as u8,
                work,
                speed_code: speed_code as u8,
            };
            events.push(Event::PeerLoad { from, load });
        }
        for (id, record) in &mut requests {
            let odds = dice.unit();
            assert!(
                record.answers > 0 || now <= record.deadline + 10 * MS,
                "a request without its answer"
            );
            if odds < 0.01 && record.answers == 0 && now < record.deadline {
                record.answers += 1;
                events.push(Event::ClientGone { request_id: *id });
            } else if let Some(&(attempt_index, worker, at)) = record.out.first() {
                let outcome = match odds {
                    _ if record.answers == 0 && now >= record.deadline => Outcome::TimedOut,
                    0.01..0.03 => Outcome::Succeeded,
                    0.03..0.04 => Outcome::AtCapacity,
                    0.04..0.05 => Outcome::ConnectFailed,
                    0.05..0.06 => Outcome::WorkerError,
                    0.06..0.07 => Outcome::ConnectionLost,
                    0.07..0.2 => {
                        events.push(Event::AttemptStarted {
                            request_id: *id,
                            attempt_index,
                        });
                        continue;
                    }
                    _ => continue,
                };
                record.out.remove(0);
                let complete = record.answers > 0 || outcome == Outcome::Succeeded;
                record.answers += usize::from(complete && record.answers == 0);
                if classify_outcome(outcome) == RequestInput::MayHaveRun {
                    record.first_doubt.get_or_insert((worker, at));
                }
                let report = Report::default();
                events.push(Event::AttemptEnded(AttemptEnded {
                    request_id: *id,
                    attempt_index,
                    outcome,
                    complete,
                    report,
                }));
            }
        }
        if dice.unit() < 0.5 && step < 5_000 {
            let class = (dice.unit() * 3.0) as u8;
            let one = request(step, class, (20.0 + dice.unit() * 400.0) as Nanos * MS, now);
            requests.insert(
                step,
                Record {
                    class,
                    deadline: one.deadline,
                    ..Record::default()
                },
            );
            events.push(Event::RequestArrived(one));
        }
        let due = timers.extract_if(.., |(at, _)| *at <= now);
        events.extend(due.map(|(_, token)| Event::TimerFired { token }));
        for event in events {
            d.handle(now, event, &mut acts);
            for act in acts.drain(..) {
                match act {
                    Action::SetTimer { at, token } => timers.push((at.max(now + 1), token)),
                    Action::SendAttempt {
                        request_id, worker, ..
                    } => {
                        let n = usize::from(worker.addr[3]);
                        let record = requests.get_mut(&request_id).unwrap();
                        assert!(
                            record.answers == 0 && now < record.deadline,
                            "posted after its answer"
                        );
                        assert!(record.out.is_empty(), "two attempts out");
                        assert!(
                            state[n] == EndpointState::Ready,
                            "posted to a worker that leaves"
                        );
                        if let (1.., Some((first, since))) = (record.class, record.first_doubt) {
                            assert!(record.class == 1, "an effect twice");
                            assert!(
                                first % 2 == n % 2 && now < since + 400 * MS,
                                "outside group or window"
                            );
                        }
                        let work = d.requests[d.request_keys[&request_id]].demand.work;
                        // In hinted work a second, by the most that was ever believed: beliefs move meanwhile.
                        unit = unit.max(d.capacity_per_size);
                        cold.push((n, now, work));
                        let recent = |(m, at, _): &&(usize, Nanos, f64)| {
                            *m == n && *at + 1_000 * MS > now && *at >= started[n]
                        };
                        let sent: f64 = cold.iter().filter(recent).map(|(_, _, work)| work).sum();
                        let warmth = 0.2 + 0.8 * (now - started[n]) as f64 / 10e9;
                        // Half of all in any window.
                        let part = 3.0 * unit * 2.0 * SECOND * warmth * 0.5;
                        assert!(
                            started[n] == 0 || warmth > 1.0 || sent < part,
                            "cold pushed over"
                        );
                        record.out.push((record.sent, n, now));
                        record.sent += 1;
                    }
                    Action::Reject { request_id, .. } | Action::Fail { request_id } => {
                        let record = requests.get_mut(&request_id).unwrap();
                        record.answers += 1;
                        assert!(now <= record.deadline + 10 * MS, "answered late");
                        let doubted = record.class > 0 && record.first_doubt.is_some();
                        let declined = matches!(act, Action::Reject { .. });
                        assert!(
                            !(declined && (doubted || !record.out.is_empty())),
                            "declined in doubt"
                        );
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(
        requests.values().all(|record| record.answers == 1),
        "a request without its one answer"
    );
    assert!(d.requests.is_empty(), "kept {:?}", d.requests.iter().next());
    assert!(
        requests
            .values()
            .any(|record| record.sent > u8::from(workers > 1))
    );
}
