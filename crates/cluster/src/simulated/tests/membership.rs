//! Failure detection, agreement and traffic of many members under kills, loss, pauses and partitions.
use super::*;
use crate::cluster::Cluster;
use test_case::test_case;

#[test_case(5, 1; "one of five")]
#[test_case(24, 12; "twelve of twenty-four")]
#[test_case(24, 1; "one of twenty-four")]
pub fn surviving_members_agree_within_three_seconds_after_kills(count: usize, killed: usize) {
    for seed in 0..10 {
        let mut cluster = started(count, seed);

        (0..killed).for_each(|index| cluster.kill(2 * index));
        let took = agree_within(&mut cluster, 10 * SECOND);

        println!("{count}-{killed}: {} ms", to_ms(took));
        assert!(took <= 3 * SECOND, "seed {seed}: {} ms", to_ms(took));
    }
}

/// Measurements of a cluster with members in three regions.
struct RegionFigures {
    /// The number of datagrams that each member sends per second while no member fails.
    datagrams_per_second: f64,
    /// The number of refuted suspicions in the whole run, in which one member is killed at the end.
    refuted: u64,
    /// The time until the other members agreed after the kill.
    agreed_after: Nanos,
}

fn measure_regions(count: usize, inter_region_delay: Nanos, seed: u64) -> RegionFigures {
    let mut cluster = starting(count, seed);
    cluster.network.inter_region_delay = inter_region_delay;
    agree_within(&mut cluster, 60 * SECOND);
    cluster.run(cluster.now + 5 * SECOND);

    let sent = |cluster: &SimulatedCluster| -> u64 {
        let members = cluster.running_members();
        members.map(|member| member.sent_datagrams).sum()
    };
    let before = sent(&cluster);
    cluster.run(cluster.now + 10 * SECOND);
    let datagrams_per_second = (sent(&cluster) - before) as f64 / 10.0 / count as f64;

    cluster.kill(count - 1);
    let agreed_after = agree_within(&mut cluster, 20 * SECOND);
    let members = cluster.running_members();
    let refuted = members.map(|member| member.cluster.membership().counts.refuted);
    RegionFigures {
        datagrams_per_second,
        refuted: refuted.sum(),
        agreed_after,
    }
}

#[test_case(0; "all in one place")]
#[test_case(40; "regions 40 ms apart")]
#[test_case(80; "regions 80 ms apart")]
fn distant_regions_cause_no_suspicions_and_no_indirect_pings(delay_ms: Nanos) {
    for seed in 0..3 {
        let figures = measure_regions(30, delay_ms * MILLISECOND, seed);

        let RegionFigures {
            datagrams_per_second,
            refuted,
            agreed_after,
        } = figures;
        println!(
            "{delay_ms} ms: {datagrams_per_second:.1} datagrams/s, {refuted} refuted, {} ms",
            to_ms(agreed_after)
        );
        // With indirect pings each member would send some 40.
        assert!(
            datagrams_per_second < 12.0,
            "seed {seed}: {datagrams_per_second:.1} datagrams a second"
        );
        assert_eq!(refuted, 0, "seed {seed}: running members were suspected");
        assert!(
            agreed_after <= 4 * SECOND,
            "seed {seed}: {} ms",
            to_ms(agreed_after)
        );
    }
}

/// Tracks for how long each member's view lacks running members.
struct IncompleteViews {
    /// The time since which each member's view is incomplete.
    since: Vec<Option<Nanos>>,
    longest: Nanos,
}

impl IncompleteViews {
    fn observe(&mut self, cluster: &SimulatedCluster) {
        let count = self.since.len();
        for (index, since) in self.since.iter_mut().enumerate() {
            let known = cluster.member(index).cluster.membership().count();
            let start: Nanos = *since.get_or_insert(cluster.now);
            if known < count {
                self.longest = self.longest.max(cluster.now - start);
            } else {
                *since = None;
            }
        }
    }
}

#[test]
pub fn running_members_are_missing_from_views_only_briefly_despite_loss_and_pauses() {
    const COUNT: usize = 24;
    let (mut died, mut longest) = (0, 0);
    for seed in 0..8 {
        let mut cluster = started(COUNT, seed);
        cluster.network.link = Link {
            loss: 0.2,
            delay: MILLISECOND,
            jitter: 20 * MILLISECOND,
            duplication: 0.05,
        };
        let mut views = IncompleteViews {
            since: vec![None; COUNT],
            longest: 0,
        };
        for step in 0..1_500 {
            if step % 25 == 0 {
                let paused = cluster.random_below(COUNT as u64) as usize;
                cluster.pause(paused, cluster.now + 300 * MILLISECOND);
            }
            cluster.run(cluster.now + 20 * MILLISECOND);
            views.observe(&cluster);
        }
        longest = longest.max(views.longest);
        let members = cluster.running_members();
        died += members
            .map(|member| member.cluster.membership().counts.died)
            .sum::<u64>();
    }

    println!(
        "{died} of {} views, {} ms at the longest",
        8 * COUNT,
        to_ms(longest)
    );
    assert!(
        longest <= 1_500 * MILLISECOND && died < 8 * COUNT as u64,
        "{died} died, {} ms",
        to_ms(longest)
    );
}

#[test]
fn a_paused_member_is_removed_and_rejoins_after_the_pause() {
    let mut cluster = started(8, 3);

    cluster.pause(2, cluster.now + 10 * SECOND);
    let others: Vec<usize> = (0..8).filter(|index| *index != 2).collect();
    cluster
        .run_until_agreed(&others, 4 * SECOND)
        .expect("the paused member was not removed");

    cluster.run(cluster.now + 8 * SECOND);
    agree_within(&mut cluster, 4 * SECOND);
}

#[test]
pub fn a_member_suspects_no_one_after_a_pause() {
    let suspected =
        |cluster: &SimulatedCluster| cluster.member(2).cluster.membership().counts.suspected;
    for seed in 0..20 {
        let mut cluster = started(8, seed);
        cluster.network.partition[2] = 1;
        cluster.run(cluster.now + 100 * MILLISECOND);
        cluster.pause(2, cluster.now + 700 * MILLISECOND);
        let before = suspected(&cluster);

        cluster.run(cluster.now + 690 * MILLISECOND);
        cluster.network.partition[2] = 0;
        cluster.run(cluster.now + 60 * MILLISECOND);

        assert_eq!(suspected(&cluster), before, "seed {seed}");
    }
}

#[test]
fn a_partition_heals() {
    for seed in 0..5 {
        let mut cluster = started(12, seed);
        let minority: Vec<usize> = (0..5).collect();
        for index in &minority {
            cluster.network.partition[*index] = 1;
        }
        cluster.run(cluster.now + 8 * SECOND);
        assert!(
            cluster.agree(&minority),
            "the members of the minority do not agree"
        );

        cluster.network.partition.fill(0);
        let took = agree_within(&mut cluster, 15 * SECOND);

        assert!(took <= 8 * SECOND, "{} ms", to_ms(took));
    }
}

/// The member sends but receives nothing: the others answer its probes, but the answers do not arrive.
#[test]
fn a_member_that_receives_nothing_is_removed_and_the_others_keep_each_other() {
    let mut cluster = started(8, 4);
    let others: Vec<usize> = (0..8).filter(|index| *index != 3).collect();

    cluster.network.cut_links = others.iter().map(|index| (*index, 3)).collect();
    cluster.run(cluster.now + 10 * SECOND);

    let positions: Vec<_> = others
        .iter()
        .map(|index| cluster.member(*index).cluster.position())
        .collect();
    let knows_the_others = |position: &Option<rosewall::types::FleetPosition>| {
        position.is_some_and(|position| position.dispatchers >= 7)
    };
    assert!(positions.iter().all(knows_the_others), "{positions:?}");
    cluster.network.cut_links.clear();
    agree_within(&mut cluster, 10 * SECOND);
}

#[test]
fn the_older_of_two_processes_with_one_name_is_on_standby_until_the_newer_stops() {
    let mut cluster = SimulatedCluster::new(5, 1);
    for index in 0..4 {
        let config = cluster.config_of(index, QUORUM_SIZE);
        cluster.start(index, config, 0);
    }
    cluster.run(5 * SECOND);

    let mut config = cluster.config_of(4, QUORUM_SIZE);
    config.name = "n0001".to_string();
    cluster.start(4, config, 0);
    cluster.run(10 * SECOND);

    let errors = |index: usize| {
        let observed = cluster.member(index).observed.iter();
        let is_error = |observed: &&(Nanos, Observed)| matches!(&observed.1, Observed::Error(text) if text.contains("RW-CLUSTER-TWICE"));
        observed.filter(is_error).count()
    };
    let position = |index: usize| cluster.member(index).cluster.position();
    assert_eq!((errors(1), errors(4)), (1, 0));
    assert_eq!(position(1), None);
    assert_eq!(position(4).map(|position| position.dispatchers), Some(4));
    cluster.kill(4);
    cluster.run(30 * SECOND);
    assert!(
        cluster.agree(&[0, 1, 2, 3]),
        "the older process is not a member again"
    );
}

#[test]
fn clusters_of_different_names_never_merge() {
    let mut cluster = SimulatedCluster::new(6, 1);
    for index in 0..6 {
        let mut config = cluster.config_of(index, QUORUM_SIZE);
        config.cluster = ["one", "other"][index % 2].to_string();
        cluster.start(index, config, 0);
    }

    cluster.run(15 * SECOND);

    assert!(cluster.agree(&[0, 2, 4]));
    assert!(cluster.member(0).cluster.counts.other_cluster > 0);
}

#[test]
fn a_member_at_a_reused_address_is_not_confused_with_the_previous_one() {
    let mut cluster = started(6, 2);
    let mut config = cluster.config_of(3, QUORUM_SIZE);
    config.name = "other".to_string();

    cluster.start(3, config, 0);

    agree_within(&mut cluster, 6 * SECOND);
    let membership = cluster.member(0).cluster.membership();
    assert!(membership.get("other").is_some());
}

#[test]
fn a_member_that_leaves_is_removed_within_half_a_second() {
    let mut cluster = started(12, 5);

    cluster.leave(7);
    let took = agree_within(&mut cluster, 3 * SECOND);

    assert!(took <= 500 * MILLISECOND, "{} ms", to_ms(took));
}

/// Guards against a stopping process that loops on timeouts that are long overdue.
#[test]
fn a_member_that_leaves_has_no_timeouts() {
    let mut cluster = started(3, 1);

    let check = |cluster: &mut Cluster, now: Nanos, effects: &mut Vec<Effect>| {
        cluster.leave(effects);
        cluster.handle_timeout(now + SECOND, effects);
        assert!(cluster.next_timeout() > now + 3_600 * SECOND);
    };

    cluster.with_cluster(1, check);
}

/// Run the large clusters with `cargo test -p rosewall-cluster --release -- --ignored`.
#[test_case(10; "ten")]
#[test_case(100; "a hundred")]
#[test_case(300 => ignore["takes minutes: run by the command above"]; "three hundred")]
#[test_case(1000 => ignore["takes minutes: run by the command above"]; "a thousand")]
fn the_bytes_that_a_member_sends_do_not_grow_with_the_cluster(count: usize) {
    let mut cluster = started(count, 1);
    let sent = |cluster: &SimulatedCluster| -> u64 {
        let members = cluster.running_members();
        members.map(|member| member.sent_bytes).sum()
    };
    let before = sent(&cluster);
    cluster.run(cluster.now + 10 * SECOND);
    let bytes_per_second = (sent(&cluster) - before) / 10 / count as u64;

    let killed = count / 10;
    (0..killed).for_each(|index| cluster.kill(3 + index));
    let took = agree_within(&mut cluster, 30 * SECOND);

    println!(
        "{count}: {bytes_per_second} bytes a second and member; {killed} killed at once: agreed after {} ms",
        to_ms(took)
    );
    assert!(
        bytes_per_second < 1_500,
        "{bytes_per_second} bytes a second"
    );
}
