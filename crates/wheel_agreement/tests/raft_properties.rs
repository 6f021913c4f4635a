//! Long random courses of three and five voters, with the whole state machine behind them.
//!
//! Messages are lost, doubled and reordered, processes crash, instances are cut off, folders are
//! lost one at a time, snapshots are taken. All the while everyone applies the same entries in the
//! same places; once all is healed, whatever was accepted is there on every instance, and all
//! states are equal. Seeds are fixed; `WISTERIAWHEEL_PROPTEST_CASES` sets the number of courses.

mod test_group;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::{Strategy, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_group::TestGroup;
use wheel_agreement::{
    GroupAction, GroupCommand, IdempotencyKey, NodeId, RaftInput, RaftOutput, RequestDigest,
    RoleName, TextUpdate, encode,
};
use wheel_manifest::ManifestDelta;
use wheel_types::{InstanceName, ManifestRevision};

/// One thing that happens in a course; numbers choose the instance.
#[derive(Clone, Debug)]
enum CourseEvent {
    Run { millis: u64 },
    Apply { place: usize },
    Restart { place: usize },
    Cut { place: usize },
    Heal,
    LoseFolder { place: usize },
    Compact { place: usize },
    Resign { place: usize },
}

fn course_events() -> impl Strategy<Value = Vec<CourseEvent>> {
    let place = || 0..5_usize;
    let event = prop_oneof![
        6 => (1..1_500_u64).prop_map(|millis| CourseEvent::Run { millis }),
        6 => place().prop_map(|place| CourseEvent::Apply { place }),
        2 => place().prop_map(|place| CourseEvent::Restart { place }),
        1 => place().prop_map(|place| CourseEvent::Cut { place }),
        1 => (0..1_usize).prop_map(|_| CourseEvent::Heal),
        1 => place().prop_map(|place| CourseEvent::LoseFolder { place }),
        1 => place().prop_map(|place| CourseEvent::Compact { place }),
        1 => place().prop_map(|place| CourseEvent::Resign { place }),
    ];
    vec(event, 20..120)
}

/// A group in the middle of a course.
struct CourseRun {
    group: TestGroup,
    names: Vec<InstanceName>,
    applies: u64,
    folders: u64,
}

impl CourseRun {
    fn open(voters: &[&str], noise: u64) -> Self {
        let mut group = TestGroup::open(voters);
        group.run_to_leader();
        group.noise = noise;
        let names = group.nodes.keys().cloned().collect();
        Self { group, names, applies: 0, folders: 100 }
    }

    fn carry_out(&mut self, event: &CourseEvent) {
        let name = |place: &usize| self.names[place % self.names.len()].clone();
        match event {
            CourseEvent::Run { millis } => self.group.run(Duration::from_millis(*millis)),
            CourseEvent::Apply { place } => self.apply(name(place).as_str()),
            CourseEvent::Restart { place } => self.group.restart(name(place).as_str()),
            CourseEvent::Cut { place } => drop(self.group.cut.insert(name(place))),
            CourseEvent::Heal => self.group.cut.clear(),
            CourseEvent::LoseFolder { place } => self.lose_folder(name(place).as_str()),
            CourseEvent::Compact { place } => self.compact(name(place).as_str()),
            CourseEvent::Resign { place } => {
                self.group.input(name(place).as_str(), RaftInput::Resign);
            }
        }
    }

    /// Proposes a text edited from what the instance knows.
    fn apply(&mut self, name: &str) {
        self.applies += 1;
        let text = self.group.nodes[name].state.text().clone();
        let delta = ManifestDelta::between(&text.source, &format!("text {}\n", self.applies));
        let (base, digest) = (text.revision, RequestDigest::default());
        let key = IdempotencyKey::new(self.applies.to_string());
        let action = GroupAction::ApplyText { base, key, digest, delta };
        let command = encode(&GroupCommand { leader_ms: self.applies, action });
        self.group.propose(name, self.applies, &command.unwrap_or_default());
    }

    /// Loses a folder, unless an earlier loss isn't repaired yet.
    fn lose_folder(&mut self, name: &str) {
        let statuses = || self.group.nodes.values().map(|test| test.node.status());
        let ids: BTreeSet<NodeId> = statuses().map(|status| status.id).collect();
        let is_repaired = statuses().any(|status| {
            let knows_all = status.role == RoleName::Leader && status.commit == status.last_index;
            knows_all && status.members.voters == ids
        });
        if is_repaired {
            self.folders += 1;
            self.group.stop(name);
            self.group.start(NodeId::new(name, self.folders), Vec::new());
        }
    }

    fn compact(&mut self, name: &str) {
        let test = &self.group.nodes[name];
        let (index, snapshot) = (test.node.status().commit, test.state.snapshot());
        let snapshot = snapshot.unwrap_or_default();
        self.group.input(name, RaftInput::Compacted { index, snapshot });
    }

    /// Heals everything and checks that everyone ends with all that was accepted.
    fn finish(mut self) {
        self.group.noise = 0;
        self.group.cut.clear();
        self.group.run(Duration::from_secs(60));
        let leader = self.group.run_to_leader();
        self.apply(&leader);
        self.group.run(Duration::from_secs(1));

        let indices: BTreeSet<u64> = self.group.committed.iter().map(|entry| entry.index).collect();
        let accepted = self.group.outputs.iter().filter_map(|output| match output {
            RaftOutput::Accepted { index, .. } => Some(*index),
            _ => None,
        });
        assert!(accepted.clone().all(|index| indices.contains(&index)));
        let last = accepted.max();
        let state = &self.group.nodes[&*leader].state;
        assert_eq!(last, Some(state.applied()), "the last text was committed");
        for test in self.group.nodes.values() {
            assert_eq!(&test.state, state, "the states differ at {}", test.node.status().id);
        }
        let update = state.changes_since(ManifestRevision(0), Default::default());
        let TextUpdate::Changes(changes) = update else {
            panic!("the history is short enough for a chain");
        };
        let revisions: Vec<u64> = changes.iter().map(|change| change.revision.0).collect();
        assert!(revisions.iter().copied().eq(1..=state.text().revision.0));
    }
}

/// Runs as many courses as the environment says, `default_cases` else; tells the first failure.
fn run_courses(voters: &[&str], default_cases: u32, forgets_entries: bool) -> Result<(), String> {
    let cases = std::env::var("WISTERIAWHEEL_PROPTEST_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok()).unwrap_or(default_cases);
    let max_shrink_iters = if forgets_entries { 0 } else { 1_000 };
    let config = Config { cases, failure_persistence: None, max_shrink_iters, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(course_events(), 1..u64::MAX), |(events, noise)| {
        let mut course = CourseRun::open(voters, noise);
        course.group.forgets_entries = forgets_entries;
        events.iter().for_each(|event| course.carry_out(event));
        course.finish();
        Ok(())
    });
    result.map_err(|failure| failure.to_string())
}

#[test]
fn courses_three_voters_agree() {
    assert_eq!(run_courses(&["a", "b", "c"], 300, false), Ok(()));
}

#[test]
fn courses_five_voters_agree() {
    assert_eq!(run_courses(&["a", "b", "c", "d", "e"], 150, false), Ok(()));
}

#[test]
fn courses_entries_not_synced_found() {
    let failure = run_courses(&["a", "b", "c"], 400, true).err().unwrap_or_default();
    assert!(failure.contains("the states differ"), "{failure}");
}
