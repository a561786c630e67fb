//! The simulated network between members, with loss, delays, duplicates, partitions and blocked links.
use crate::time::MILLISECOND;
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The number of regions; the member at an index is in the region `index % REGIONS`.
const REGIONS: usize = 3;

/// The properties of a link between members.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram arrives twice.
    pub duplication: f64,
    /// The minimum delay.
    pub delay: Nanos,
    /// The maximum of the random delay that is added for each datagram.
    pub jitter: Nanos,
}

/// The index and address of a member.
#[derive(Clone, Copy, Debug)]
pub struct Address {
    /// The index of the member in the cluster.
    pub index: usize,
    /// The address at which the member receives datagrams.
    pub addr: SocketAddr,
}

/// Returns the address at which the member at `index` receives datagrams.
pub fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7946).into()
}

/// The state of the simulated network.
pub struct Network {
    /// The properties of all links.
    pub link: Link,
    /// The delay that is added between members of different regions.
    pub inter_region_delay: Nanos,
    /// The partition of each member; datagrams pass only within a partition.
    pub partition: Vec<u32>,
    /// Pairs of sender and receiver whose datagrams are dropped.
    pub cut_links: Vec<(usize, usize)>,
    indices: BTreeMap<SocketAddr, usize>,
}

impl Network {
    pub(super) fn new(count: usize) -> Self {
        Network {
            link: Link {
                delay: MILLISECOND / 2,
                jitter: MILLISECOND,
                ..Link::default()
            },
            inter_region_delay: 0,
            partition: vec![0; count],
            cut_links: Vec::new(),
            indices: (0..count).map(|index| (address(index), index)).collect(),
        }
    }

    pub(super) fn index_of(&self, addr: SocketAddr) -> Option<usize> {
        self.indices.get(&addr).copied()
    }

    /// Returns the delay of each delivered copy of a datagram; none if it is lost.
    pub(super) fn delays(&self, from: &Address, to: SocketAddr, rng: &mut Pcg) -> Vec<Nanos> {
        let Some(to) = self.index_of(to) else {
            return Vec::new();
        };
        let is_cut = self.partition[to] != self.partition[from.index]
            || self.cut_links.contains(&(from.index, to));
        if is_cut || rng.unit() < self.link.loss {
            return Vec::new();
        }
        let regional = if to % REGIONS == from.index % REGIONS {
            0
        } else {
            self.inter_region_delay
        };
        let copies = 1 + u64::from(rng.unit() < self.link.duplication);
        let jitter = |rng: &mut Pcg| (rng.unit() * self.link.jitter as f64) as Nanos;
        (0..copies)
            .map(|_| regional + self.link.delay + jitter(rng))
            .collect()
    }
}
