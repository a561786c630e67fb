//! A scenario from a seed: sizes, schemes, load and faults, mixed so that troubles meet.
use crate::core::Chance;
use crate::scenario::{
    BADNESSES, Bad, Effect, Fault, Group, Limits, Load, Members, Net, One, Rules, Scenario, Scheme,
    Trouble, Worker,
};

const AT_WORKERS: [Trouble; 14] = [
    Trouble::Stall,
    Trouble::Slow,
    Trouble::Errors,
    Trouble::FailScheme,
    Trouble::Swallow,
    Trouble::Full,
    Trouble::Odd,
    Trouble::Die,
    Trouble::Vanish,
    Trouble::Drain,
    Trouble::DrainReturn,
    Trouble::Rebirth,
    Trouble::Cut,
    Trouble::CutBoth,
];

const AT_DISPATCHERS: [Trouble; 10] = [
    Trouble::ListSilent,
    Trouble::ListLate,
    Trouble::ListBack,
    Trouble::ListLacks,
    Trouble::ListGarbled,
    Trouble::Kill,
    Trouble::Stop,
    Trouble::Reload,
    Trouble::ReloadDead,
    Trouble::Tighten,
];

/// Millisecond figures that people can read.
fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// The scenario of a seed.
pub fn draw(seed: u64) -> Scenario {
    let mut chance = Chance::new(seed, 1);
    let dispatchers = *chance.among(&[1, 1, 2, 2, 3, 4, 8]);
    let count = chance.below(2, 9) as usize;
    let length_ms = chance.below(2500, 7000);
    let rules = Rules {
        grace_ms: *chance.among(&[500, 1000, 3000]),
        fall_multiple: *chance.among(&[3.0, 4.0]),
        fall_ms: *chance.among(&[1000, 2000]),
        cold_from: round(0.15 + 0.2 * chance.unit()),
        cold_ms: chance.below(4000, 20_000),
    };
    let worker: Vec<Worker> = (0..count)
        .map(|at| Worker {
            zone: at % 2,
            cell: at / 2,
            slots: chance.below(2, 5) as usize,
            queue: chance.below(2, 16) as usize,
            speed: round(0.7 + 0.6 * chance.unit()),
            drops_left: chance.is(0.5),
            keeps: *chance.among(&[1.0, 1.0, 1.0, 0.3, 0.05]),
        })
        .collect();
    let kinds = [Effect::Repeatable, Effect::Referenced, Effect::OnceOnly];
    let scheme: Vec<Scheme> = kinds
        .iter()
        .map(|effect| {
            let expiry_ms = chance.below(250, 2500);
            Scheme {
                effect: *effect,
                group: *chance.among(&[Group::All, Group::Zone, Group::Cell]),
                window_ms: *chance.among(&[200, 1000, 5000]),
                sla_ms: expiry_ms * 2 / 3,
                expiry_ms,
                value: round(0.5 + 2.0 * chance.unit()),
                stretch: *chance.among(&[1.0, 2.0]),
            }
        })
        .collect();
    // From quiet to well over what the fleet can do, over three schemes.
    let full = worker
        .iter()
        .map(|worker| worker.slots as f64 * worker.speed)
        .sum::<f64>();
    let busy = *chance.among(&[0.2, 0.4, 0.6, 0.8, 1.3]);
    let load = (0..kinds.len())
        .map(|scheme| {
            let low = round(2.0 + 10.0 * chance.unit());
            let high = round(low * (2.0 + 10.0 * chance.unit()));
            let mean = (high - low) / (high / low).ln();
            let rate = (full * busy / 3.0 / (mean / 1000.0)).min(60.0);
            Load {
                scheme,
                rate: round(rate),
                from_ms: 0,
                until_ms: None,
                work_ms: [low, high],
                retries: chance.below(0, 3) as usize,
                leave: *chance.among(&[0.0, 0.02, 0.2]),
                hints: chance.is(0.8),
            }
        })
        .collect();
    let mut fault = Vec::new();
    // Troubles gather round a few moments, so that they meet; some at the very same one.
    let moments: Vec<f64> = (0..chance.below(1, 4))
        .map(|_| chance.below(300, length_ms) as f64)
        .collect();
    for _ in 0..chance.below(1, 8) {
        let kind = match chance.is(0.6) {
            true => *chance.among(&AT_WORKERS),
            false => *chance.among(&AT_DISPATCHERS),
        };
        let most = if kind.at_worker() { count } else { dispatchers };
        let near = *chance.among(&moments);
        let at_ms = match chance.below(0, 3) {
            0 => near,
            1 => round(near + 20.0 * chance.unit()),
            _ => round(near + 600.0 * chance.unit()),
        };
        let share = match kind {
            Trouble::Slow => round(1.5 + 8.0 * chance.unit()),
            Trouble::Cut | Trouble::CutBoth | Trouble::Odd | Trouble::Errors | Trouble::Swallow => {
                *chance.among(&[0.2, 0.5, 1.0])
            }
            Trouble::ListLacks => *chance.among(&[0.3, 0.7, 1.0]),
            _ => 1.0,
        };
        let for_ms = *chance.among(&[50.0, 150.0, 400.0, 1000.0, 2500.0]);
        let (target, scheme) = (
            chance.below(0, most as u64) as usize,
            chance.below(0, 3) as usize,
        );
        fault.push(Fault {
            at_ms,
            kind,
            target,
            for_ms,
            share,
            scheme,
        });
        // What a list says of one that drains matters most while the list itself is in trouble.
        if matches!(kind, Trouble::Drain | Trouble::DrainReturn) && chance.is(0.4) {
            let kind = *chance.among(&[
                Trouble::ListBack,
                Trouble::ListBack,
                Trouble::ReloadDead,
                Trouble::ListSilent,
            ]);
            let before = if kind == Trouble::ListBack {
                -400.0
            } else {
                20.0
            };
            let at_ms = (at_ms - before).max(0.0);
            let target = chance.below(0, dispatchers as u64) as usize;
            fault.push(Fault {
                at_ms,
                kind,
                target,
                for_ms: 2500.0,
                share: 1.0,
                scheme: 0,
            });
        }
    }
    let bads = if chance.is(0.4) {
        chance.below(1, 5)
    } else {
        0
    };
    let bad = (0..bads)
        .map(|_| Bad {
            at_ms: chance.below(100, length_ms) as f64,
            kind: *chance.among(&BADNESSES),
            count: *chance.among(&[1, 1, 3, 30]),
            dispatcher: chance.below(0, dispatchers as u64) as usize,
        })
        .collect();
    // Some txns that end, are left or are begun just as a trouble begins or ends.
    let txn = (0..chance.below(0, 4))
        .map(|_| {
            let near = &fault[chance.below(0, fault.len() as u64) as usize];
            let moment = near.at_ms + if chance.is(0.5) { near.for_ms } else { 0.0 };
            let within = chance.below(100, 800) as f64;
            let at_ms = (moment - *chance.among(&[0.0, within, within - 20.0, 50.0])).max(0.0);
            let leave_ms = chance.is(0.3).then_some((moment - at_ms).max(1.0));
            let (scheme, dispatcher) = (
                chance.below(0, 3) as usize,
                chance.below(0, dispatchers as u64) as usize,
            );
            let work_ms = *chance.among(&[5.0, 100.0, within]);
            One {
                at_ms,
                scheme,
                dispatcher,
                work_ms,
                within_ms: Some(within),
                leave_ms,
            }
        })
        .collect();
    // Drawn last, and by a stream of its own, so that all else stays what it was under this seed.
    let mut chance = Chance::new(seed, 2);
    let members = (dispatchers > 1 && chance.is(0.5)).then(|| Members {
        keepers: if dispatchers < 3 {
            1
        } else {
            *chance.among(&[0, 3, 3])
        },
        peers: chance.is(0.5),
        loss: *chance.among(&[0.0, 0.05, 0.2]),
        twice: *chance.among(&[0.0, 0.1]),
        jitter_ms: *chance.among(&[0, 5, 200]),
        skew_ms: *chance.among(&[0, 500, 5_000]),
    });
    for _ in 0..if members.is_some() {
        chance.below(0, 3)
    } else {
        0
    } {
        let kind = *chance.among(&[Trouble::Deaf, Trouble::Mute, Trouble::Split, Trouble::Kill]);
        let (at_ms, target) = (
            chance.below(300, length_ms) as f64,
            chance.below(0, dispatchers as u64) as usize,
        );
        let for_ms = *chance.among(&[150.0, 1000.0, 2500.0]);
        fault.push(Fault {
            at_ms,
            kind,
            target,
            for_ms,
            share: 1.0,
            scheme: 0,
        });
    }
    if members.is_some() && chance.is(0.5) {
        let (at_ms, target) = (
            chance.below(300, length_ms) as f64,
            chance.below(0, count as u64) as usize,
        );
        fault.push(Fault {
            at_ms,
            kind: Trouble::Rebirth,
            target,
            for_ms: 0.0,
            share: 1.0,
            scheme: 0,
        });
    }
    Scenario {
        members,
        name: format!("drawn from {seed}"),
        seed,
        length_ms,
        dispatchers,
        limits: Limits {
            sockets: *chance.among(&[96, 128, 384]),
            memory_mb: *chance.among(&[16, 48]),
            postings: 3,
            probes: chance.is(0.3),
            idle_ms: *chance.among(&[2000, 5000]),
            connect_ms: 250,
        },
        net: Net {
            latency_us: *chance.among(&[[20, 60], [50, 400], [100, 3000]]),
            split: *chance.among(&[0.0, 0.05, 0.3]),
            harsh: chance.is(0.5),
            backlog: *chance.among(&[1, 8, 128]),
        },
        rules,
        scheme,
        worker,
        load,
        txn,
        bad,
        fault,
    }
}
