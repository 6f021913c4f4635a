//! Collects the outputs of one step.

use crate::{HardState, PersistRecord, RaftOutput};

/// Outputs collected during a step. Records form one batch that comes before all other outputs,
/// so that a step costs one sync however many inputs it had.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct RaftOutbox {
    hard_state: Option<HardState>,
    records: Vec<PersistRecord>,
    outputs: Vec<RaftOutput>,
}

impl RaftOutbox {
    /// Replaces the term and vote of the batch.
    pub(crate) fn save_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = Some(hard_state);
    }

    pub(crate) fn save(&mut self, record: PersistRecord) {
        match (self.records.last_mut(), record) {
            (Some(PersistRecord::Append(batch)), PersistRecord::Append(entries)) => {
                batch.extend(entries);
            }
            (_, record) => self.records.push(record),
        }
    }

    pub(crate) fn push(&mut self, output: RaftOutput) {
        self.outputs.push(output);
    }

    /// Empties the outbox into the order in which outputs are carried out.
    pub(crate) fn drain(&mut self) -> Vec<RaftOutput> {
        let hard_state = self.hard_state.take().map(PersistRecord::HardState);
        let records: Vec<_> = hard_state.into_iter().chain(self.records.drain(..)).collect();
        let persist = (!records.is_empty()).then_some(RaftOutput::Persist(records));
        persist.into_iter().chain(self.outputs.drain(..)).collect()
    }
}
