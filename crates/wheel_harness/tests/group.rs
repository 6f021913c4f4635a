//! Replication of the manifest while processes are killed, frozen, wiped and partitioned.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use support::{LIMIT, assert_whole, book, generate, start};
use wheel_harness::{ClusterSettings, LinkState, LocalCluster, ProcessSignal};

fn edited(cluster: &LocalCluster, number: usize) -> String {
    format!("# edit {number}\n{}", cluster.source)
}

/// Resends an edit under the same key until it is accepted; returns the revision.
async fn apply_until_accepted(
    cluster: &LocalCluster,
    index: usize,
    number: usize,
    base: u64,
) -> u64 {
    let at = cluster.instances[index].ports.operators;
    let (source, key) = (edited(cluster, number), format!("edit-{number}"));
    cluster
        .wait_until("an accepted edit", LIMIT, || async {
            let reply = cluster.apply(at, &source, base, &key).await.ok()?;
            (reply.status == StatusCode::OK).then(|| reply.json()["revision"].as_u64())?
        })
        .await
        .expect("an accepted edit")
}

async fn current_manifest(cluster: &LocalCluster, index: usize) -> (u64, String) {
    let at = cluster.instances[index].ports.operators;
    let reply = cluster.client.get(at, "/admin/v1/text").await.expect("an answer");
    let revision = reply.header("etag").trim_matches('"').parse().expect("a revision");
    (revision, reply.text())
}

fn index_of(cluster: &LocalCluster, name: &str) -> usize {
    let found = cluster.instances.iter().position(|one| one.name.as_str() == name);
    found.expect("an instance of that name")
}

async fn leader(cluster: &LocalCluster, via: usize) -> usize {
    let at = cluster.instances[via].ports.operators;
    let name = cluster
        .wait_until("a leader", LIMIT, || async {
            let status = cluster.status(at).await.ok()?;
            status["leader"].as_str().map(str::to_owned)
        })
        .await
        .expect("a leader");
    index_of(cluster, &name)
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_operators_race_with_equal_numbers_one_manifest_per_revision() {
    let cluster = start(ClusterSettings::default()).await;
    let racers = 10;
    for round in 0..3_u64 {
        let base = round + 1;
        let tries = (0..racers).map(|racer| {
            let at = cluster.instances[racer % cluster.instances.len()].ports.operators;
            let source = edited(&cluster, racer + 100 * round as usize);
            let key = format!("round-{round}-racer-{racer}");
            let cluster = &cluster;
            async move {
                let first = cluster.apply(at, &source, base, &key).await.expect("an answer");
                // Simulates a lost answer: the same manifest again under the same revision and key.
                let other = cluster.instances[(racer + 1) % cluster.instances.len()].ports;
                let again =
                    cluster.apply(other.operators, &source, base, &key).await.expect("an answer");
                (source, first, again)
            }
        });
        let results = join_all(tries).await;
        let winners: Vec<_> =
            results.iter().filter(|(_, first, _)| first.status == StatusCode::OK).collect();
        assert_eq!(winners.len(), 1, "one accepted edit in round {round}");
        for (_, first, again) in &results {
            assert_eq!(first.status, again.status, "{} / {}", first.text(), again.text());
            assert_eq!(first.json()["revision"], again.json()["revision"]);
            assert_eq!(first.json()["revision"].as_u64(), Some(base + 1));
        }
        cluster.wait_revision(base + 1, LIMIT).await.expect("the revision in force");
        for index in 0..cluster.instances.len() {
            let (revision, manifest) = current_manifest(&cluster, index).await;
            assert_eq!((revision, &manifest), (base + 1, &winners[0].0));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_leaders_killed_in_a_loop_loses_nothing_accepted() {
    let mut cluster = start(ClusterSettings::default()).await;
    let mut revision = 1;
    for round in 0..3 {
        let victim = leader(&cluster, index_of(&cluster, "a2")).await;
        cluster.instances[victim].kill();
        let via = (0..6).find(|n| *n != victim).expect("another instance");
        revision = apply_until_accepted(&cluster, via, round, revision).await;
        assert_eq!(revision, round as u64 + 2);
        cluster.instances[victim].start().expect("a restart");
        cluster.wait_revision(revision, LIMIT).await.expect("the revision in force");
    }
    let (held, manifest) = current_manifest(&cluster, 0).await;
    assert_eq!((held, manifest), (4, edited(&cluster, 2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_frozen_leader_wakes_up_and_reverts_nothing() {
    let cluster = start(ClusterSettings::default()).await;
    let frozen = leader(&cluster, index_of(&cluster, "a2")).await;
    cluster.instances[frozen].signal(ProcessSignal::Stop);
    let via = (0..6).find(|n| *n != frozen).expect("another instance");
    let revision = apply_until_accepted(&cluster, via, 1, 1).await;
    cluster.instances[frozen].signal(ProcessSignal::Continue);
    cluster.wait_revision(revision, LIMIT).await.expect("the revision in force");
    for index in 0..cluster.instances.len() {
        let (held, manifest) = current_manifest(&cluster, index).await;
        assert_eq!((held, manifest), (revision, edited(&cluster, 1)), "at {index}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn group_folder_wiped_then_second_killed_keeps_what_was_accepted() {
    let mut cluster = start(ClusterSettings::default()).await;
    let revision = apply_until_accepted(&cluster, 0, 1, 1).await;
    let wiped = index_of(&cluster, "b1");
    cluster.instances[wiped].kill();
    let folder = cluster.instances[wiped].folder.clone().expect("a data folder");
    std::fs::remove_dir_all(folder).expect("a wiped folder");
    cluster.instances[wiped].start().expect("a restart");
    // A second instance fails right afterwards. Possibly no majority with the data is left, so
    // nothing new can be accepted, but nothing accepted may be lost.
    let second = index_of(&cluster, "c1");
    cluster.instances[second].kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (held, manifest) = current_manifest(&cluster, index_of(&cluster, "a1")).await;
    assert_eq!((held, manifest), (revision, edited(&cluster, 1)));
    cluster.instances[second].start().expect("a restart");
    let next = apply_until_accepted(&cluster, 0, 2, revision).await;
    assert_eq!(next, revision + 1);
    cluster.wait_revision(next, LIMIT).await.expect("the revision in force");
    let (held, manifest) = current_manifest(&cluster, wiped).await;
    assert_eq!((held, manifest), (next, edited(&cluster, 2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn group_restarted_after_hundreds_of_changes_holds_the_last() {
    let mut cluster = start(ClusterSettings::default()).await;
    let changes = 300;
    let at = cluster.instances[0].ports.operators;
    for number in 1..=changes {
        let key = format!("edit-{number}");
        let reply = cluster.apply(at, &edited(&cluster, number), number as u64, &key).await;
        assert_eq!(reply.expect("an answer").status, StatusCode::OK, "edit {number}");
    }
    cluster.instances.iter_mut().for_each(|instance| instance.kill());
    for instance in &mut cluster.instances {
        instance.start().expect("a restart");
    }
    cluster.wait_revision(changes as u64 + 1, LIMIT).await.expect("the last revision");
    for index in 0..cluster.instances.len() {
        let (held, manifest) = current_manifest(&cluster, index).await;
        assert_eq!((held, manifest), (changes as u64 + 1, edited(&cluster, changes)));
    }
}

async fn partitioned_centre_serves_and_recovers(partitioned: LinkState) {
    let settings = ClusterSettings {
        partitionable: Some("c".into()),
        preload: vec!["engine-c=guide".to_owned()],
        ..ClusterSettings::default()
    };
    let cluster = start(settings).await;
    let inside = cluster.instances[index_of(&cluster, "c1")].ports;
    assert_whole(&generate(&cluster.client, inside.callers, "guide", 3, 20_000).await, 3);
    cluster.set_links(partitioned);
    // The minority side keeps serving what it can, and accepts no booking that it can't claim.
    let answered = cluster
        .wait_until("an answer on the minority side", LIMIT, || async {
            let reply = generate(&cluster.client, inside.callers, "guide", 3, 5_000).await;
            (reply.status == StatusCode::OK).then_some(reply)
        })
        .await;
    assert_whole(&answered.expect("an answer"), 3);
    let refused = book(&cluster.client, inside.callers, "cut-off", "{}").await;
    assert_eq!(refused.header("wheel-outcome"), "not-run", "{}", refused.text());
    let minority = cluster.apply(inside.operators, &edited(&cluster, 66), 1, "minority").await;
    assert_ne!(minority.expect("an answer").status, StatusCode::OK);
    // Meanwhile the majority accepts changes.
    let revision = apply_until_accepted(&cluster, index_of(&cluster, "a1"), 1, 1).await;
    assert_eq!(current_manifest(&cluster, index_of(&cluster, "c2")).await.0, 1);
    let ready = cluster.client.get(inside.operators, "/readyz").await.expect("an answer");
    assert_eq!(ready.status, StatusCode::OK, "a partitioned instance stays ready");
    cluster.set_links(LinkState::Open);
    cluster.wait_revision(revision, LIMIT).await.expect("the revision in force");
    let (held, manifest) = current_manifest(&cluster, index_of(&cluster, "c2")).await;
    assert_eq!((held, manifest), (revision, edited(&cluster, 1)));
    let booked = cluster
        .wait_until("a booking after the partition", LIMIT, || async {
            let reply = book(&cluster.client, inside.callers, "cut-off", "{}").await;
            (reply.status == StatusCode::OK).then_some(())
        })
        .await;
    booked.expect("a booking after the partition");
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_refusing_links_centre_serves_and_recovers() {
    partitioned_centre_serves_and_recovers(LinkState::Refusing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_silent_links_centre_serves_and_recovers() {
    partitioned_centre_serves_and_recovers(LinkState::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_leader_exits_with_zero_and_another_leads_within_two_seconds() {
    let mut cluster = start(ClusterSettings::default()).await;
    let first = leader(&cluster, index_of(&cluster, "a2")).await;
    cluster.instances[first].signal(ProcessSignal::Terminate);
    let process = cluster.instances[first].process().expect("a process");
    assert_eq!(process.wait(LIMIT).expect("an end").code(), Some(0));
    let ended = std::time::Instant::now();
    let via = (0..6).find(|n| *n != first).expect("another instance");
    assert_eq!(apply_until_accepted(&cluster, via, 1, 1).await, 2);
    let taken = ended.elapsed();
    assert!(taken < Duration::from_secs(2), "accepted after {taken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn voter_removed_still_follows_and_comes_back_by_its_identity() {
    let cluster = start(ClusterSettings::default()).await;
    let at = cluster.instances[0].ports.operators;
    let voters = cluster.client.get(at, "/admin/v1/voters").await.expect("an answer").json();
    let listed = voters["voters"].as_array().expect("voters").iter().filter_map(|v| v.as_str());
    let removed = listed.into_iter().find(|name| name.starts_with("b1/")).expect("voter b1");
    let change = |body: String| {
        let client = cluster.client.clone();
        async move { client.call(http::Method::POST, at, "/admin/v1/voters", &[], body).await }
    };
    let reply = change(format!(r#"{{"remove":"{removed}"}}"#)).await.expect("an answer");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    let revision = apply_until_accepted(&cluster, index_of(&cluster, "a1"), 1, 1).await;
    // The removed instance and its neighbour, which polls it first, get the change too.
    cluster.wait_revision(revision, LIMIT).await.expect("the revision in force");
    let reply = change(format!(r#"{{"add":"{removed}"}}"#)).await.expect("an answer");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    cluster
        .wait_until("the voter's return", LIMIT, || async {
            let voters = cluster.client.get(at, "/admin/v1/voters").await.ok()?.json();
            let voters = voters["voters"].as_array()?.clone();
            voters.iter().any(|voter| voter.as_str() == Some(removed)).then_some(())
        })
        .await
        .expect("the voter's return");
}
