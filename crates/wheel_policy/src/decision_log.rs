//! A bounded log of recent decisions.

use std::collections::{HashMap, VecDeque};

use wheel_types::{ModelName, MonotonicTime, RequestId};

/// What a decision was about.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum DecisionSubject {
    /// A model: loads, unloads, and routing that found no loaded replica.
    Model(ModelName),
    /// One request: where it was sent, or why it was refused.
    Request(RequestId),
}

/// One recorded decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionEntry {
    /// When it was made.
    pub at: MonotonicTime,
    /// What it was about.
    pub subject: DecisionSubject,
    /// What was decided and why, as `key=value` pairs.
    pub summary: String,
}

/// A bounded log of decisions that drops the oldest and counts how many it dropped.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    capacity: usize,
    entries: VecDeque<DecisionEntry>,
    index: HashMap<DecisionSubject, VecDeque<u64>>,
    first: u64,
}

impl DecisionLog {
    /// Creates a log of at most `capacity` decisions.
    pub fn with_capacity(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, entries: VecDeque::new(), index: HashMap::new(), first: 0 }
    }

    /// Records a decision.
    pub fn record(&mut self, entry: DecisionEntry) {
        if self.entries.len() == self.capacity {
            self.drop_oldest();
        }
        let number = self.first + self.entries.len() as u64;
        self.index.entry(entry.subject.clone()).or_default().push_back(number);
        self.entries.push_back(entry);
    }

    /// The decisions about `subject`, oldest first.
    pub fn explain(&self, subject: &DecisionSubject) -> Vec<&DecisionEntry> {
        let numbers = self.index.get(subject).into_iter().flatten();
        numbers.filter_map(|number| self.entries.get((number - self.first) as usize)).collect()
    }

    /// Number of decisions that were dropped because the log was full.
    pub fn dropped_count(&self) -> u64 {
        self.first
    }

    fn drop_oldest(&mut self) {
        let Some(entry) = self.entries.pop_front() else { return };
        self.first += 1;
        let Some(numbers) = self.index.get_mut(&entry.subject) else { return };
        numbers.pop_front();
        if numbers.is_empty() {
            self.index.remove(&entry.subject);
        }
    }
}
