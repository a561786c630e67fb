use super::*;
use rosewall::types::{PeerLoad, WorkerId};

fn worker(at: u8) -> WorkerId {
    WorkerId {
        addr: [1, 2, 3, at],
        port: 80,
    }
}

/// A quarter of those that it speaks of, or two, may be silent by one member's word.
#[test]
pub fn one_members_word_empties_no_fleet() {
    let (mut load_receiver, name) = (LoadReceiver::default(), Name::from("n1"));
    let load = |at: u8| PeerLoad {
        worker: worker(at),
        half_slots: 2,
        work_units: 10,
        speed_code: PeerLoad::SPEED_SILENT,
    };
    let believed = (0..40)
        .filter(|at| {
            load_receiver.receive(1, &name, load(*at), 0).speed_code == PeerLoad::SPEED_SILENT
        })
        .count();
    assert!((2..=10).contains(&believed), "{believed} of 40");
    assert!(load_receiver.ignored_silence > 0);
}

#[test]
fn what_ended_on_the_way_is_taken_off() {
    let load = PeerLoad {
        worker: worker(1),
        half_slots: 4,
        work_units: 100,
        speed_code: 140,
    };
    let line = LoadReceiver::default().receive(1, &"n1".into(), load, 100);
    // 400 ms at two seats are 800 ms, in units of 16 ms.
    assert_eq!(line.work_units, 50);
}

#[test]
fn lines_to_one_member_go_together_and_the_newest_of_a_worker_counts() {
    let mut load_sender = LoadSender::default();
    let (name, load) = (Name::from("n1"), |at, work| PeerLoad {
        worker: worker(at),
        half_slots: 2,
        work_units: work,
        speed_code: 140,
    });
    load_sender.send_load(0, &name, load(1, 5));
    load_sender.send_load(MS, &name, load(2, 6));
    load_sender.send_load(2 * MS, &name, load(1, 7));
    assert_eq!(load_sender.take_due(20 * MS), []);
    let line = |at, work, age| Part::PeerLoad {
        load: load(at, work),
        age,
    };
    assert_eq!(
        load_sender.take_due(26 * MS),
        [(name, vec![line(1, 7, 6), line(2, 6, 6)])]
    );
    assert_eq!(load_sender.take_due(100 * MS), []);
}
