//! Extrapolates the measured slopes to the target size.

use std::path::Path;

use wheel_agreement::GroupLimits;

use crate::measured_slopes::mean;
use crate::page_block::format_figure;
use crate::target_size::{
    ARTIFACTS, CENTRE_ENGINES, CENTRE_NODES, CHANGES_PER_S, CONTROL_BYTES_PER_S,
    CONTROL_CORE_PERCENT, CONTROL_MIB, DAY_S, HOURLY_SHARE, IN_FORCE_S, NODES, OWNER_ENGINES,
    REQUESTS_PER_S, RESTARTS_PER_DAY, TOKEN_GAP_S, TOKENS_PER_S,
};
use crate::{BenchError, CsvTable, MeasuredSlopes, PageBlock};

/// Instances that poll one instance for manifests.
const TREE_FANOUT: f64 = 4.0;
/// Bytes in a kibibyte, and kibibytes in a mebibyte.
const KIB: f64 = 1_024.0;

/// Generates the tables of docs/CAPACITY.md.
#[derive(Clone, Debug, Default)]
pub struct CapacityPage {
    measured: MeasuredSlopes,
}

impl CapacityPage {
    /// Reads the measured tables from a folder.
    ///
    /// # Errors
    /// [`BenchError`] if a table is missing or malformed.
    pub fn read(folder: &Path) -> Result<Self, BenchError> {
        Ok(Self { measured: MeasuredSlopes::read(folder)? })
    }

    /// Generates all blocks of docs/CAPACITY.md.
    pub fn blocks(&self) -> Vec<PageBlock> {
        vec![
            self.slopes(),
            self.control(),
            self.limits(),
            self.data_plane(),
            self.claims_block(),
            self.storm_block(),
            self.failures_block(),
            self.propagation_block(),
        ]
    }

    fn slopes(&self) -> PageBlock {
        let headings = ["slope", "unit", "each", "base", "points", "worst point off the line"];
        let mut block = PageBlock::table("slopes", &headings);
        let slopes = [
            ("entry: processor time of a change", "ms", "MiB of text", self.measured.change_cpu()),
            (
                "control: processor time of a change",
                "ms",
                "MiB of text",
                self.measured.control_change_cpu(),
            ),
            ("entry: resident memory", "MiB", "MiB of text", self.measured.ingress_memory()),
            ("parse and check of a text", "ms", "MiB of text", self.measured.parse_time()),
            (
                "entry: heartbeat bodies",
                "bytes/s",
                "instance of the data centre",
                self.measured.heartbeats(),
            ),
            (
                "entry: bytes on the sockets, idle",
                "bytes/s",
                "instance of the data centre",
                self.measured.idle_wire(),
            ),
            (
                "control voter: bytes on the sockets, idle",
                "bytes/s",
                "instance of the data centre",
                self.measured.control_idle_wire(),
            ),
            (
                "entry: idle processor time",
                "% of a core",
                "instance of the data centre",
                self.measured.idle_core(),
            ),
            (
                "owner: processor time of polling",
                "% of a core",
                "owned engine",
                self.measured.polling_core(),
            ),
            (
                "instance: reports received and sent",
                "bytes/s",
                "engine of the data centre",
                self.measured.report_bytes(),
            ),
            (
                "lease holder: processor time",
                "% of a core",
                "engine of the data centre",
                self.measured.holder_core(),
            ),
            ("owner: memory of an open stream", "MiB", "stream", self.measured.stream_memory()),
        ];
        for (what, unit, each, fit) in slopes {
            block.row(&[
                what.to_owned(),
                unit.to_owned(),
                format!("{} a {each}", format_figure(fit.slope)),
                format_figure(fit.intercept),
                fit.points.to_string(),
                format!("{} %", format_figure(100.0 * fit.max_error)),
            ]);
        }
        block
    }

    /// Cost of control on a node of each role at the target size.
    fn control(&self) -> PageBlock {
        let headings = ["role", "part", "formula", "% of a core", "bytes/s", "MiB"];
        let mut block = PageBlock::table("control", &headings);
        let mut row = |role: &str, part: &str, formula: &str, core: f64, bytes: f64, mib: f64| {
            let cells = [core, bytes, mib].map(format_figure);
            let [core, bytes, mib] = cells;
            let cells = [role.to_owned(), part.to_owned(), formula.to_owned(), core, bytes, mib];
            block.row(&cells);
        };
        let manifest_mib = self.measured.target_manifest_mib();
        let change_core =
            self.measured.change_cpu().at(manifest_mib) / 1_000.0 * CHANGES_PER_S * 100.0;
        let change_bytes = self.measured.ingress_change_bytes() * CHANGES_PER_S;
        let idle = self.measured.idle_core().at(CENTRE_NODES);
        let idle_bytes = self.measured.idle_wire().at(CENTRE_NODES);
        let memory = self.measured.ingress_memory().at(manifest_mib);
        let reports = self.measured.report_bytes().slope.max(0.0) * CENTRE_ENGINES;
        row(
            "entry",
            "idle: heartbeats and polls, with framing",
            "lines at 54.5 instances",
            idle,
            idle_bytes,
            0.0,
        );
        row(
            "entry",
            "changes",
            "(ms a change at the text's size) x 0.174/s",
            change_core,
            change_bytes,
            memory,
        );
        row(
            "entry",
            "reports of the data centre",
            "bytes/s an engine x 455 engines",
            0.0,
            reports,
            0.0,
        );
        let polling = self.measured.polling_core().slope * OWNER_ENGINES;
        row("owner", "polling", "% an engine x 8.3 engines", polling, 0.0, 0.0);
        let relay = self.measured.busiest_change_bytes() * CHANGES_PER_S * TREE_FANOUT;
        row("relay of texts", "4 children", "bytes a change x 4 x 0.174/s", 0.0, relay, 0.0);
        let holder = self.measured.holder_core().slope * CENTRE_ENGINES;
        row(
            "lease holder",
            "engines read and planned",
            "% an engine x 455 engines",
            holder,
            0.0,
            0.0,
        );
        let control_core =
            self.measured.control_change_cpu().at(manifest_mib) / 1_000.0 * CHANGES_PER_S * 100.0;
        let control_bytes = self.measured.busiest_change_bytes() * CHANGES_PER_S;
        row(
            "control voter",
            "changes",
            "(ms a change at the text's size) x 0.174/s",
            control_core,
            control_bytes,
            memory,
        );
        let core = idle + change_core + polling;
        let bytes = idle_bytes + change_bytes + reports;
        row("**an ordinary node**", "sum of entry and owner", "", core, bytes, memory);
        row("**allowed**", "", "", CONTROL_CORE_PERCENT, CONTROL_BYTES_PER_S, CONTROL_MIB);
        block
    }

    /// Size at which each part exceeds its limit.
    fn limits(&self) -> PageBlock {
        let headings = ["part", "allowed", "at the letter's size", "passes it at"];
        let mut block = PageBlock::table("breaks", &headings);
        let manifest_mib = self.measured.target_manifest_mib();
        let per_engine_mib = manifest_mib / (NODES * OWNER_ENGINES);
        let change = self.measured.change_cpu();
        let remaining_core = CONTROL_CORE_PERCENT - self.measured.idle_core().at(CENTRE_NODES);
        let limit_ms = remaining_core / 100.0 / CHANGES_PER_S * 1_000.0;
        let core_mib = (limit_ms - change.intercept) / change.slope;
        block.row(&[
            "processor time of changes at an entry".to_owned(),
            format!("{} ms a change", format_figure(limit_ms)),
            format!("{} ms a change", format_figure(change.at(manifest_mib))),
            format!(
                "a text of {} MiB, {} engines",
                format_figure(core_mib),
                format_figure(core_mib / per_engine_mib)
            ),
        ]);
        let memory = self.measured.ingress_memory();
        let memory_mib = (CONTROL_MIB - memory.intercept) / memory.slope;
        block.row(&[
            "memory of an entry".to_owned(),
            format!("{} MiB", format_figure(CONTROL_MIB)),
            format!("{} MiB", format_figure(memory.at(manifest_mib))),
            format!(
                "a text of {} MiB, {} engines",
                format_figure(memory_mib),
                format_figure(memory_mib / per_engine_mib)
            ),
        ]);
        let reports = self.measured.report_bytes();
        let idle_bytes = self.measured.idle_wire().at(CENTRE_NODES);
        let remaining_bytes =
            CONTROL_BYTES_PER_S - idle_bytes - self.measured.ingress_change_bytes() * CHANGES_PER_S;
        block.row(&[
            "bytes of reports at each instance".to_owned(),
            format!("{} bytes/s", format_figure(remaining_bytes)),
            format!("{} bytes/s", format_figure(reports.slope * CENTRE_ENGINES)),
            format!(
                "{} engines in a data centre",
                format_figure(remaining_bytes / reports.slope.max(1e-9))
            ),
        ]);
        let holder = self.measured.holder_core();
        block.row(&[
            "processor time of the lease holder".to_owned(),
            format!("{} % of a core", format_figure(CONTROL_CORE_PERCENT)),
            format!("{} % of a core", format_figure(holder.slope * CENTRE_ENGINES)),
            format!(
                "{} engines in a data centre",
                format_figure(CONTROL_CORE_PERCENT / holder.slope.max(1e-9))
            ),
        ]);
        let polling = self.measured.polling_core();
        block.row(&[
            "processor time of polling at an owner".to_owned(),
            format!("{} % of a core", format_figure(remaining_core)),
            format!("{} % of a core", format_figure(polling.slope * OWNER_ENGINES)),
            format!("{} engines an owner", format_figure(remaining_core / polling.slope.max(1e-9))),
        ]);
        block
    }

    fn data_plane(&self) -> PageBlock {
        let headings = ["what", "formula", "at the letter's size"];
        let mut block = PageBlock::table("data-plane", &headings);
        let busiest =
            self.measured.streams.filter_rows("relayed", 1.0).filter_rows("streams", 512.0);
        let owner_us = mean(&busiest.column("owner_cpu_us_per_token"));
        let ingress_us = mean(&busiest.column("entry_cpu_us_per_token"));
        let token_cores = TOKENS_PER_S * (owner_us + ingress_us) / 1e6;
        let mut row = |what: &str, formula: String, value: String| {
            block.row(&[what.to_owned(), formula, value]);
        };
        row(
            "cores for tokens, all relayed",
            format!("32e6/s x ({} + {}) us", format_figure(owner_us), format_figure(ingress_us)),
            format!(
                "{} cores, {} a node",
                format_figure(token_cores),
                format_figure(token_cores / NODES)
            ),
        );
        row(
            "tokens/s a core, entry and owner together",
            format!("1e6 / ({} + {})", format_figure(owner_us), format_figure(ingress_us)),
            format_figure(1e6 / (owner_us + ingress_us)),
        );
        let relayed = self.measured.requests.filter_rows("way", 2.0).filter_rows("open", 64.0);
        let request_us = mean(&relayed.column("owner_cpu_us_per_request"))
            + mean(&relayed.column("entry_cpu_us_per_request"));
        let request_cores = REQUESTS_PER_S * request_us / 1e6;
        row(
            "cores for requests beside their tokens",
            format!("80,000/s x {} us", format_figure(request_us)),
            format!(
                "{} cores, {} a node",
                format_figure(request_cores),
                format_figure(request_cores / NODES)
            ),
        );
        let open = TOKENS_PER_S * TOKEN_GAP_S / NODES;
        let stream_kib = self.measured.stream_memory().slope * KIB;
        row(
            "memory of open streams, at the entry and again at the owner",
            format!("32e6/s x 64 ms / 1,200 x {} KiB x 2", format_figure(stream_kib)),
            format!(
                "{} streams, {} MiB a node",
                format_figure(open),
                format_figure(open * stream_kib / KIB * 2.0)
            ),
        );
        let placement = ARTIFACTS * HOURLY_SHARE / 3_600.0;
        row(
            "models and adapters that wake up or fall idle",
            "4,540 x 20 % / 3,600 s".to_owned(),
            format!(
                "{} a second in all, {} in a data centre",
                format_figure(placement),
                format_figure(placement / crate::target_size::CENTRES)
            ),
        );
        let limits = GroupLimits::default();
        let ttl_s = limits.claim_ttl_ms as f64 / 1_000.0;
        row(
            "claims that one group keeps",
            format!(
                "{} claims for {} s",
                format_figure(limits.max_claims as f64),
                format_figure(ttl_s)
            ),
            format!("{} a second in the long run", format_figure(limits.max_claims as f64 / ttl_s)),
        );
        let restart_bytes = self.measured.target_manifest_mib() * KIB * KIB;
        row(
            "texts for restarted instances",
            "750 a day x the whole text".to_owned(),
            format!(
                "{} MiB each, {} bytes/s in all",
                format_figure(restart_bytes / KIB / KIB),
                format_figure(RESTARTS_PER_DAY * restart_bytes / DAY_S)
            ),
        );
        block
    }

    fn claims_block(&self) -> PageBlock {
        let headings = [
            "voters",
            "open calls",
            "calls/s",
            "median ms",
            "p99 ms",
            "leader's time a call, us",
            "failed",
        ];
        let mut block = PageBlock::table("claims", &headings);
        let columns = [
            "voters",
            "open",
            "bookings_per_s",
            "median_ms",
            "p99_ms",
            "leader_cpu_us_per_booking",
            "failed",
        ];
        push_rows(&mut block, &self.measured.claims, &columns);
        block
    }

    fn storm_block(&self) -> PageBlock {
        let headings =
            ["refused (1) or answered (0)", "open calls", "calls/s", "processor time a call, us"];
        let mut block = PageBlock::table("storm", &headings);
        push_rows(
            &mut block,
            &self.measured.storm,
            &["refused", "open", "requests_per_s", "cpu_us_per_request"],
        );
        block
    }

    fn failures_block(&self) -> PageBlock {
        const NAMES: [&str; 5] = [
            "the group's leader is killed: a change is accepted again",
            "an owner is killed: its engine answers again",
            "the lease holder is killed: a cold model is loaded again",
            "an instance restarts: it is ready",
            "the group's leader is frozen: a change is accepted again",
        ];
        let mut block =
            PageBlock::table("failures", &["failure", "runs", "fastest ms", "slowest ms"]);
        for (kind, name) in NAMES.iter().enumerate() {
            let times =
                self.measured.failures.filter_rows("failure", kind as f64).column("recovered_ms");
            let fastest = times.iter().copied().fold(f64::INFINITY, f64::min);
            let slowest = times.iter().copied().fold(0.0, f64::max);
            let cells = [
                name.to_string(),
                times.len().to_string(),
                format_figure(fastest),
                format_figure(slowest),
            ];
            block.row(&cells);
        }
        block
    }

    fn propagation_block(&self) -> PageBlock {
        let headings = [
            "instances",
            "text bytes",
            "in force everywhere, median ms",
            "slowest ms",
            "allowed ms",
        ];
        let mut block = PageBlock::table("in-force", &headings);
        let columns = ["instances", "text_bytes", "in_force_ms_median", "in_force_ms_max"];
        let values = columns.map(|column| self.measured.changes.column(column));
        for row in 0..values[0].len() {
            let mut cells: Vec<String> =
                values.iter().map(|column| format_figure(column[row])).collect();
            cells.push(format_figure(IN_FORCE_S * 1_000.0));
            block.row(&cells);
        }
        block
    }
}

fn push_rows(block: &mut PageBlock, table: &CsvTable, columns: &[&str]) {
    let values: Vec<Vec<f64>> = columns.iter().map(|column| table.column(column)).collect();
    let rows = values.first().map_or(0, Vec::len);
    for row in 0..rows {
        let cells: Vec<String> = values.iter().map(|column| format_figure(column[row])).collect();
        block.row(&cells);
    }
}
