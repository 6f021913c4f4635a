//! Reports side by side.

use std::fmt::Write;

use crate::{RankReport, ReplayReport};

/// Columns of the CSV, which has one line for each policy.
const CSV_HEADER: &str = "trace,policy,wakes,wake_p50_ms,wake_p95_ms,wake_p99_ms,wake_max_ms,\
all_p99_ms,idle_hours,held_hours,returns,returns_in_time,loads,unloads,adapter_loads,lost_loads,\
silent,late,broken";

/// Reports of one trace, one for each policy.
#[derive(Clone, Debug)]
pub struct ReportTable {
    /// The trace's title.
    pub title: String,
    /// The reports.
    pub reports: Vec<ReplayReport>,
}

impl ReportTable {
    /// The reports as a table in plain text.
    pub fn to_text(&self) -> String {
        let mut text = format!("{}\n", self.title);
        let columns =
            ["policy", "wakes", "p50", "p95", "p99", "max", "all p99", "idle h", "held h"];
        let more_columns = ["loads", "unloads", "returns", "in time", "silent", "late", "broken"];
        let _ = write!(text, "{:16}", columns[0]);
        columns[1..].iter().chain(&more_columns).for_each(|column| {
            let _ = write!(text, "{column:>9}");
        });
        text.push('\n');
        self.reports.iter().for_each(|report| text.push_str(&policy_line(report)));
        text.push_str("by rank: in time %, first byte within 1.4 s %, p95 s, refused, unknown\n");
        self.reports.iter().for_each(|report| text.push_str(&rank_line(report, "", &report.ranks)));
        for report in self.reports.iter().filter(|report| !report.flood_ranks.is_empty()) {
            text.push_str(&rank_line(report, " in floods", &report.flood_ranks));
        }
        text
    }

    /// The reports as comma-separated values.
    pub fn to_csv(&self) -> String {
        let ranks = self.reports.first().map_or(&[][..], |report| &report.ranks[..]);
        let mut text = CSV_HEADER.to_owned();
        for part in ["", "flood_"] {
            for rank in ranks {
                for column in ["offered", "in_time", "on_target", "p95_ms", "refused", "unknown"] {
                    let _ = write!(text, ",{part}{}_{column}", rank.name);
                }
            }
        }
        text.push('\n');
        self.reports.iter().for_each(|report| text.push_str(&self.csv_line(report, ranks.len())));
        text
    }

    fn csv_line(&self, report: &ReplayReport, ranks: usize) -> String {
        let wake = report.wake_wait;
        let mut line = format!(
            "\"{}\",{},{},{},{},{},{},{},{:.3},{:.3}",
            self.title,
            report.policy,
            wake.count,
            wake.p50,
            wake.p95,
            wake.p99,
            wake.max,
            report.all_wait.p99,
            report.idle_hours,
            report.loaded_hours
        );
        let counts = [
            report.retries,
            report.retries_in_time,
            report.loads,
            report.unloads,
            report.adapter_loads,
            report.lost_loads,
            report.unanswered,
            report.late,
            report.violations.len() as u64,
        ];
        counts.iter().for_each(|count| {
            let _ = write!(line, ",{count}");
        });
        let none = vec![RankReport::default(); ranks];
        let flood_ranks = if report.flood_ranks.is_empty() { &none } else { &report.flood_ranks };
        for rank in report.ranks.iter().chain(flood_ranks) {
            let _ = write!(
                line,
                ",{},{},{},{},{},{}",
                rank.offered,
                rank.in_time,
                rank.on_target,
                rank.first_byte.p95,
                rank.refused,
                rank.unknown
            );
        }
        line.push('\n');
        line
    }
}

fn policy_line(report: &ReplayReport) -> String {
    let wake = report.wake_wait;
    let mut line = format!("{:16}{:>9}", report.policy.to_string(), wake.count);
    for wait in [wake.p50, wake.p95, wake.p99, wake.max, report.all_wait.p99] {
        let _ = write!(line, "{:>8.2}s", wait / 1_000.0);
    }
    let _ = write!(line, "{:>9.1}{:>9.1}", report.idle_hours, report.loaded_hours);
    let counts = [report.loads, report.unloads, report.retries, report.retries_in_time];
    counts
        .iter()
        .chain(&[report.unanswered, report.late, report.violations.len() as u64])
        .for_each(|count| {
            let _ = write!(line, "{count:>9}");
        });
    line.push('\n');
    line
}

fn rank_line(report: &ReplayReport, part: &str, ranks: &[RankReport]) -> String {
    let mut line = format!("{:26}", format!("{}{part}", report.policy));
    for rank in ranks {
        let offered = rank.offered.max(1) as f64;
        let _ = write!(
            line,
            " | {} {}: {:.2} {:.2} {:.2}s {} {}",
            rank.name,
            rank.offered,
            100.0 * rank.in_time_share(),
            100.0 * rank.on_target as f64 / offered,
            rank.first_byte.p95 / 1_000.0,
            rank.refused,
            rank.unknown
        );
    }
    line.push('\n');
    line
}
