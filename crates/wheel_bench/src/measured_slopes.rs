//! Linear fits of the measured tables.

use std::path::Path;

use crate::{BenchError, CsvTable, LineFit};

/// Instances in the runs with manifests of growing size.
const MANIFEST_RUN_INSTANCES: f64 = 7.0;
/// Bytes in a kibibyte, and kibibytes in a mebibyte.
const KIB: f64 = 1_024.0;

/// The measured tables, and the slopes that [`CapacityPage`](crate::CapacityPage) extrapolates.
#[derive(Clone, Debug, Default)]
pub struct MeasuredSlopes {
    pub(crate) manifest: CsvTable,
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
    /// Reads the measured tables from a folder.
    ///
    /// # Errors
    /// [`BenchError`] if a table is missing or malformed.
    pub fn read(folder: &Path) -> Result<Self, BenchError> {
        let table = |name| CsvTable::read(folder, name);
        Ok(Self {
            manifest: table("text")?,
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

    /// Size of the manifest at the target size, from the last row of the run `text`, in mebibytes.
    pub(crate) fn target_manifest_mib(&self) -> f64 {
        self.manifest.column("text_bytes").last().copied().unwrap_or_default() / KIB / KIB
    }

    fn manifest_fit(&self, column: &str) -> LineFit {
        let rows = self.changes.filter_rows("instances", MANIFEST_RUN_INSTANCES);
        let sizes = mebibytes(&rows.column("text_bytes"));
        LineFit::through(&sizes, &rows.column(column))
    }

    pub(crate) fn change_cpu(&self) -> LineFit {
        self.manifest_fit("entry_cpu_ms_per_change")
    }

    pub(crate) fn control_change_cpu(&self) -> LineFit {
        self.manifest_fit("control_cpu_ms_per_change")
    }

    pub(crate) fn ingress_memory(&self) -> LineFit {
        self.manifest_fit("entry_rss_mib")
    }

    pub(crate) fn parse_time(&self) -> LineFit {
        LineFit::through(
            &mebibytes(&self.manifest.column("text_bytes")),
            &self.manifest.column("parse_ms"),
        )
    }

    pub(crate) fn heartbeats(&self) -> LineFit {
        LineFit::through(&self.idle.column("instances"), &self.idle.column("member_bytes_per_s"))
    }

    /// Bytes on the sockets, with all framing and the polls for manifests.
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

    /// The lease holder is an owner as well, so only its use above that of another instance counts.
    pub(crate) fn holder_core(&self) -> LineFit {
        let holder = self.polling.column("holder_core_percent");
        let other = self.polling.column("other_core_percent");
        let excess: Vec<f64> =
            holder.iter().zip(&other).map(|(holder, other)| holder - other).collect();
        LineFit::through(&self.polling.column("engines"), &excess)
    }

    pub(crate) fn stream_memory(&self) -> LineFit {
        let direct = self.streams.filter_rows("relayed", 0.0);
        LineFit::through(&direct.column("streams"), &direct.column("owner_rss_mib"))
    }

    pub(crate) fn ingress_change_bytes(&self) -> f64 {
        mean(&self.changes.column("entry_bytes_per_change"))
    }

    pub(crate) fn busiest_change_bytes(&self) -> f64 {
        mean(&self.changes.column("busiest_bytes_per_change"))
    }
}

fn mebibytes(bytes: &[f64]) -> Vec<f64> {
    bytes.iter().map(|bytes| bytes / KIB / KIB).collect()
}

/// The mean of values; zero without any.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
