//! Faults that are planted to prove that the tests detect them; docs/PROOFS.md lists them.

#[cfg(feature = "fault-injection")]
use std::sync::OnceLock;

/// Environment variable with the names of the faults to plant, separated by commas.
#[cfg(feature = "fault-injection")]
pub const PLANT_VARIABLE: &str = "WISTERIAWHEEL_PLANT";

/// The faults that can be planted.
#[cfg(feature = "fault-injection")]
pub const PLANTED_NAMES: [&str; 25] = [
    "answer_of_another",
    "attempts_unlimited",
    "call_id_carried_twice",
    "cut_answer_taken",
    "drain_cut_short",
    "drain_stays_ready",
    "drain_without_deadline",
    "empty_end_believed",
    "false_bytes_pass",
    "join_request_dropped",
    "key_forwarded",
    "leaving_ignored",
    "log_lags",
    "odd_entry_ends_process",
    "odd_entry_hides_list",
    "old_config",
    "order_without_pause",
    "overcommit",
    "part_looks_whole",
    "queued_request_dropped",
    "reader_hurried",
    "refuse_after_send",
    "repeat_unsafe",
    "silence_ends_answer",
    "withdrawn_key_kept",
];

/// Whether the fault `name` is planted in this process; always false without the feature
/// `fault-injection`.
#[cfg(not(feature = "fault-injection"))]
#[inline(always)]
pub const fn is_planted(_name: &str) -> bool {
    false
}

/// Whether the fault `name` is planted in this process; always false without the feature
/// `fault-injection`.
#[cfg(feature = "fault-injection")]
pub fn is_planted(name: &str) -> bool {
    static PLANTED: OnceLock<Vec<String>> = OnceLock::new();
    PLANTED.get_or_init(read_planted).iter().any(|planted| planted == name)
}

#[cfg(feature = "fault-injection")]
fn read_planted() -> Vec<String> {
    let list = std::env::var(PLANT_VARIABLE).unwrap_or_default();
    let names = list.split(',').map(str::trim).filter(|name| !name.is_empty());
    let (known, unknown): (Vec<&str>, Vec<&str>) =
        names.partition(|name| PLANTED_NAMES.contains(name));
    for name in &known {
        spdlog::warn!("fault_planted", kv: { name = (*name).to_owned() });
    }
    for name in &unknown {
        spdlog::error!("fault_unknown", kv: { name = (*name).to_owned() });
    }
    known.into_iter().map(str::to_owned).collect()
}
