//! Tests of batches, replies and frames, and of the errors for malformed ones.
use crate::codec::{self, Fields, Reply};
use crate::codes::{action, event};
use crate::error::AdapterError;
use crate::events::{self, Incoming};
use crate::host::Host;
use rosewall::types::Event;
use test_case::test_case;

const SETTINGS: &str = "Bounds.Probes=true\nMe=0\nBounds.MaxPostings=3\nBounds.MaxRetryAfterNs=2000000000\n\
    Bounds.RetryAfter=true\nContract.ColdFrom=0.14\nContract.ColdNs=24000000000\nContract.FallMultiple=4.0\n\
    Contract.FallNs=2000000000\nFamilyInfo.ClassStretch=2.0\nFamilyInfo.ReportX0=free_slots\n\
    FamilyInfo.TellsStart=true\nRegistryMode=on_request\nReport.Fields=load_share,x0\nSchemes.count=1\n\
    Schemes.0.Group=all\nSchemes.0.Idempotency=once\nSchemes.0.SlaTimeNs=250000000\nSchemes.0.Value=8.0\n\
    Schemes.0.WindowNs=5000000000\nSiblings=4\nSomething.New=1\n";

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

fn start_record(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    record(
        1,
        &[&7_u64.to_le_bytes()[..], &length, settings.as_bytes()].concat(),
    )
}

fn reply_to(records: &[Vec<u8>]) -> Result<Vec<u8>, AdapterError> {
    let count = (records.len() as u32).to_le_bytes();
    let bytes = [&5_u64.to_le_bytes()[..], &count, &records.concat()].concat();
    let mut reply = Reply::new();
    let mut out = Vec::new();
    Host::default().handle_batch(&bytes, &mut reply)?;
    reply.write(&mut out)?;
    Ok(out)
}

fn instance_record(instance: u32) -> Vec<u8> {
    record(12, &instance.to_le_bytes())
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(reply_to(&[]).unwrap(), vec![0; 8]);
}

#[test]
fn unknown_records_and_settings_are_skipped() {
    let records = [
        record(99, &[1, 2, 3]),
        instance_record(3),
        start_record(SETTINGS),
    ];
    assert_eq!(reply_to(&records).unwrap(), vec![0; 8]);
}

#[test]
fn an_instance_may_start_again_in_the_batch_of_its_stop() {
    let list = record(2, &[&[0; 8][..], &[2], &[0; 4]].concat());
    let out = reply_to(&[
        instance_record(3),
        start_record(SETTINGS),
        record(10, &[]),
        start_record(SETTINGS),
        list,
    ])
    .unwrap();
    let codes = [action::INSTANCE, action::SET_TIMER, action::WATCH_ENDPOINTS];
    assert_eq!((out[0], [out[8], out[17], out[38]]), (3, codes));
}

#[test_case(vec![record(7, &[0; 8])] => "an event before any instance was named"; "no instance")]
#[test_case(vec![instance_record(3), record(7, &[0; 8])] => "an event for instance 3, which is not running"; "not started")]
#[test_case(vec![instance_record(3), record(7, &[0; 3])]
    => "record with code 7: a field of 8 bytes extends 5 bytes past the end of the data"; "short field")]
#[test_case(vec![vec![7, 255, 0, 0, 0]]
    => "record with code 7: a field of 255 bytes extends 255 bytes past the end of the data"; "record too long")]
#[test_case(vec![instance_record(3), start_record("")] => "setting class.count is missing"; "no settings")]
#[test_case(vec![instance_record(3), start_record(&SETTINGS.replace("=4.0", "=four"))]
    => "setting overload.multiple cannot be read: \"four\""; "unreadable setting")]
fn malformed_batches_are_refused(records: Vec<Vec<u8>>) -> String {
    reply_to(&records).unwrap_err().to_string()
}

#[test_case(&[] => Ok(false); "end between frames")]
#[test_case(&[1, 0] => Err("input ended inside a frame's length".to_string()); "end in the length")]
#[test_case(&[4, 0, 0, 0, 1] => Err("input ended inside a frame: 1 of 4 bytes".to_string()); "end in a frame")]
#[test_case(&[1, 0, 0, 0, 1] => Ok(true); "a complete frame")]
fn batches_are_read_whole_or_not_at_all(mut bytes: &[u8]) -> Result<bool, String> {
    codec::read_batch(&mut bytes, &mut Vec::new()).map_err(|error| error.to_string())
}

/// A message of another version must not end the adapter with an error.
#[test_case(&[3, 0, 10, 0, 10, 0, 0, 1, 9, 0, 4, 8, 0, 1] => true; "of this version")]
#[test_case(&[3, 0, 4, 0, 1, 2, 3, 4] => false; "of another length")]
fn peer_messages_of_another_version_are_ignored(bytes: &[u8]) -> bool {
    let incoming = events::read(event::PEER_MESSAGE, Fields::new(bytes))
        .ok()
        .unwrap();
    matches!(incoming, Incoming::Event(Event::PeerLoad { from: 3, load })
        if load.half_slots == 4 && load.work_units == 8)
}

#[test_case("Bounds.Peers", "true", "peer_load.allowed"; "messages between dispatchers")]
#[test_case("ScoreParts.TailPart", "0.2", "score.tail"; "the part of the tail")]
#[test_case("ScoreParts.MissAllowed", "0.02", "score.miss_allowed"; "misses allowed")]
fn operators_settings_are_mapped(path: &str, value: &str, name: &str) {
    let map = rosewall_settings::parse_settings([(path, value)]);
    assert_eq!(map.get(name).map(String::as_str), Some(value));
}
