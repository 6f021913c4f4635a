//! Lines through the measured tables.

use std::path::Path;

use crate::{BenchError, CsvTable, LineFit};

/// Instances of the runs in which the text grows.
const TEXT_RUN_INSTANCES: f64 = 7.0;
/// Bytes of a kibibyte.
const KIB: f64 = 1_024.0;

/// The measured tables, and the slopes that [`CapacityPage`](crate::CapacityPage) works with.
#[derive(Clone, Debug, Default)]
pub struct MeasuredSlopes {
    pub(crate) text: CsvTable,
    pub(crate) idle: CsvTable,
    pub(crate) polling: CsvTable,
    pub(crate) changes: CsvTable,
    pub(crate) requests: CsvTable,
    pub(crate) streams: CsvTable,
    pub(crate) claims: CsvTable,
    pub(crate) storm: CsvTable,
    pub(crate) failures: CsvTable,
}

impl MeasuredSlopes {
    /// Reads the tables of a folder.
    ///
    /// # Errors
    /// [`BenchError`] if one is missing.
    pub fn read(folder: &Path) -> Result<Self, BenchError> {
        let table = |name| CsvTable::read(folder, name);
        Ok(Self {
            text: table("text")?,
            idle: table("idle")?,
            polling: table("polling")?,
            changes: table("changes")?,
            requests: table("requests")?,
            streams: table("streams")?,
            claims: table("claims")?,
            storm: table("storm")?,
            failures: table("failures")?,
        })
    }

    /// The letter's text, from the last row of the run over texts, in mebibytes.
    pub(crate) fn letter_text_mib(&self) -> f64 {
        self.text.column("text_bytes").last().copied().unwrap_or_default() / KIB / KIB
    }

    fn text_fit(&self, column: &str) -> LineFit {
        let rows = self.changes.only("instances", TEXT_RUN_INSTANCES);
        let sizes = mebibytes(&rows.column("text_bytes"));
        LineFit::through(&sizes, &rows.column(column))
    }

    pub(crate) fn change_cpu(&self) -> LineFit {
        self.text_fit("entry_cpu_ms_per_change")
    }

    pub(crate) fn control_change_cpu(&self) -> LineFit {
        self.text_fit("control_cpu_ms_per_change")
    }

    pub(crate) fn entry_memory(&self) -> LineFit {
        self.text_fit("entry_rss_mib")
    }

    pub(crate) fn parse_time(&self) -> LineFit {
        LineFit::through(&mebibytes(&self.text.column("text_bytes")), &self.text.column("parse_ms"))
    }

    pub(crate) fn heartbeats(&self) -> LineFit {
        LineFit::through(&self.idle.column("instances"), &self.idle.column("member_bytes_per_s"))
    }

    /// With all framing, and with the polls for texts.
    pub(crate) fn idle_wire(&self) -> LineFit {
        LineFit::through(
            &self.idle.column("instances"),
            &self.idle.column("entry_wire_bytes_per_s"),
        )
    }

    pub(crate) fn control_idle_wire(&self) -> LineFit {
        let bytes = self.idle.column("control_wire_bytes_per_s");
        LineFit::through(&self.idle.column("instances"), &bytes)
    }

    pub(crate) fn idle_core(&self) -> LineFit {
        LineFit::through(&self.idle.column("instances"), &self.idle.column("entry_core_percent"))
    }

    pub(crate) fn polling_core(&self) -> LineFit {
        let engines = self.polling.column("engines_per_owner");
        LineFit::through(&engines, &self.polling.column("other_core_percent"))
    }

    pub(crate) fn report_bytes(&self) -> LineFit {
        LineFit::through(
            &self.polling.column("engines"),
            &self.polling.column("report_bytes_per_s"),
        )
    }

    /// The holder is an owner, too: only what it uses beyond another instance counts.
    pub(crate) fn holder_core(&self) -> LineFit {
        let holder = self.polling.column("holder_core_percent");
        let other = self.polling.column("other_core_percent");
        let beyond: Vec<f64> =
            holder.iter().zip(&other).map(|(holder, other)| holder - other).collect();
        LineFit::through(&self.polling.column("engines"), &beyond)
    }

    pub(crate) fn stream_memory(&self) -> LineFit {
        let direct = self.streams.only("relayed", 0.0);
        LineFit::through(&direct.column("streams"), &direct.column("owner_rss_mib"))
    }

    pub(crate) fn entry_change_bytes(&self) -> f64 {
        mean(&self.changes.column("entry_bytes_per_change"))
    }

    pub(crate) fn busiest_change_bytes(&self) -> f64 {
        mean(&self.changes.column("busiest_bytes_per_change"))
    }
}

fn mebibytes(bytes: &[f64]) -> Vec<f64> {
    bytes.iter().map(|bytes| bytes / KIB / KIB).collect()
}

/// The mean of some values; zero without any.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
