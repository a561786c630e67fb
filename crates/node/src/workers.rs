//! The table of workers: host, id, where to dial, when born.
use rosewall::types::{Listed, Nanos, Standing, WorkerId};
use rosewall_wire::discovery::{Host, Listing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

struct Site {
    host: String,
    dial: Option<SocketAddr>,
    born: Nanos,
}

#[derive(Default)]
pub struct Workers {
    by_id: BTreeMap<WorkerId, Site>,
}

/// The id follows from the host alone, so that it is the same at every dispatcher: FNV-1a (64 bits), of which
/// the id has room for 48.
pub fn id(host: &str) -> WorkerId {
    let hash = host.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let [a, b, c, d, e, f, ..] = (hash ^ hash >> 48 << 16).to_be_bytes();
    WorkerId { addr: [a, b, c, d], port: u16::from_be_bytes([e, f]) }
}

impl Workers {
    /// Its host, and where to dial it.
    pub fn reach(&self, id: WorkerId) -> Option<(&str, SocketAddr)> {
        self.by_id.get(&id).and_then(|site| Some((site.host.as_str(), site.dial?)))
    }

    /// Takes in a list. Gives the entries for the decisions, the workers whose connections are not to be used
    /// again, and how many hosts were passed over because another has their id.
    pub fn take(&mut self, listing: Listing) -> (Vec<Listed>, Vec<WorkerId>, usize) {
        let (mut entries, mut void, mut clashing) = (Vec::new(), Vec::new(), 0);
        let mut left: BTreeSet<WorkerId> = match listing.whole {
            true => self.by_id.keys().copied().collect(),
            false => BTreeSet::new(),
        };
        for Host { host, dial, standing, zone, kind, group, size, born } in listing.hosts {
            let worker = id(&host);
            let site = self.by_id.entry(worker).or_insert_with(|| Site { host: host.clone(), dial, born });
            if site.host != host {
                clashing += 1;
                continue;
            }
            left.remove(&worker);
            let dial = dial.or(site.dial);
            if site.born != born || site.dial != dial || standing == Standing::Gone {
                void.push(worker);
            }
            (site.dial, site.born) = (dial, born);
            entries.push(Listed { worker, standing, zone, kind, size, started: born, group });
        }
        // Whoever a whole list leaves out is gone.
        void.extend(left);
        (entries, void, clashing)
    }
}
