//! Batching of reports, the correction for their age, and the limit on unresponsive workers.
use super::*;

fn load(worker: u8, work: u16) -> PeerLoad {
    PeerLoad {
        worker: WorkerId {
            addr: [1, 2, 3, worker],
            port: 80,
        },
        half_slots: 2,
        work_units: work,
        speed_code: 140,
    }
}

#[test]
pub fn unresponsive_reports_by_one_member_count_for_few_workers() {
    let (mut receiver, name) = (LoadReceiver::default(), Name::from("n1"));
    let unresponsive = |worker: u8| PeerLoad {
        speed_code: PeerLoad::SPEED_UNRESPONSIVE,
        ..load(worker, 10)
    };

    let counted = (0..40)
        .filter(|worker| {
            let load = receiver.receive(1, &name, unresponsive(*worker), 0);
            load.speed_code == PeerLoad::SPEED_UNRESPONSIVE
        })
        .count();

    assert!((2..=10).contains(&counted), "{counted} of 40");
    assert!(receiver.ignored_silence > 0);
}

#[test]
fn work_that_completed_since_the_report_is_subtracted() {
    let reported = PeerLoad {
        half_slots: 4,
        ..load(1, 100)
    };

    let counted = LoadReceiver::default().receive(1, &"n1".into(), reported, 100);

    // 400 ms at two slots are 800 ms, in units of 16 ms.
    assert_eq!(counted.work_units, 50);
}

#[test]
fn reports_to_one_member_are_batched_and_the_newest_of_a_worker_counts() {
    let mut sender = LoadSender::default();
    let name = Name::from("n1");

    sender.queue(0, &name, load(1, 5));
    sender.queue(MILLISECOND, &name, load(2, 6));
    sender.queue(2 * MILLISECOND, &name, load(1, 7));

    assert_eq!(sender.take_due(20 * MILLISECOND), []);
    let part = |worker, work, age| Part::PeerLoad {
        load: load(worker, work),
        age,
    };
    let batch = ReportBatch {
        to: name,
        parts: vec![part(1, 7, 6), part(2, 6, 6)],
    };
    assert_eq!(sender.take_due(26 * MILLISECOND), [batch]);
    assert_eq!(sender.take_due(100 * MILLISECOND), []);
}
