//! What a soak does to the system and to what is around it.

use std::fmt;
use std::time::Duration;

use crate::{ListFault, UpstreamFault};

/// One kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// SIGTERM.
    Terminate,
    /// SIGTERM to all entries, one after another.
    TerminateSeries,
    /// SIGTERM to two entries at once.
    TerminatePair,
    /// SIGTERM and, while it drains, SIGTERM again.
    SecondSignal,
    /// SIGTERM and, while it drains, SIGHUP.
    ReloadWhileDraining,
    /// SIGHUP.
    Reload,
    /// SIGKILL; back after a while.
    Kill,
    /// SIGTERM; started again as soon as it has ended.
    RestartAtOnce,
    /// SIGKILL to all control instances at once.
    KillControl,
    /// SIGSTOP for longer than the lease.
    Freeze,
    /// A control instance starts again without its data.
    Wipe,
    /// The link passes everything on late.
    LinkDelay,
    /// The link resets all connections.
    LinkReset,
    /// The link loses answers.
    LinkOneWay,
    /// The link passes nothing on.
    LinkSilence,
    /// The link passes a few bytes on at a time.
    LinkTrickle,
    /// An upstream does this wrong.
    Upstream(UpstreamFault),
    /// An upstream ends at once and comes back under its id.
    UpstreamCrash,
    /// An upstream is told to leave and comes back under another id.
    UpstreamReplaced,
    /// Two upstreams end, and another service takes the address of each.
    AddressReused,
    /// The list does this wrong.
    List(ListFault),
    /// Many configurations one after another.
    ChangeStorm,
    /// Two operators at once, with equal and uneven versions.
    ChangeRace,
    /// Configurations that must be refused.
    InvalidChange,
}

/// On whom a fault acts, by place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultTarget {
    /// A process.
    Process(usize),
    /// All entries.
    Entries,
    /// All control instances.
    Control,
    /// The link between callers and an entry, by the entry's place.
    CallerLink(usize),
    /// The link before an upstream.
    UpstreamLink(usize),
    /// An upstream.
    Upstream(usize),
    /// The list.
    List,
    /// The operators.
    Operators,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// When it begins, since the first fault may.
    pub at: Duration,
    /// How long it acts.
    pub lasts: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// On whom it acts.
    pub target: FaultTarget,
}

impl FaultTarget {
    /// Whether two faults on these would act on the same.
    pub fn overlaps(self, other: Self, controls: usize) -> bool {
        match (self, other) {
            (Self::Entries, Self::Process(place)) | (Self::Process(place), Self::Entries) => {
                place >= controls
            }
            (Self::Control, Self::Process(place)) | (Self::Process(place), Self::Control) => {
                place < controls
            }
            _ => self == other,
        }
    }
}

impl fmt::Display for FaultTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Process(place) => write!(formatter, "process-{place}"),
            Self::Entries => formatter.write_str("entries"),
            Self::Control => formatter.write_str("control"),
            Self::CallerLink(place) => write!(formatter, "caller-link-{place}"),
            Self::UpstreamLink(place) => write!(formatter, "upstream-link-{place}"),
            Self::Upstream(place) => write!(formatter, "upstream-{place}"),
            Self::List => formatter.write_str("list"),
            Self::Operators => formatter.write_str("operators"),
        }
    }
}

impl FaultKind {
    /// The name that observations and plans use; several ways to stop a process are one name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Terminate | Self::TerminateSeries | Self::TerminatePair => "terminate",
            Self::SecondSignal => "second_signal",
            Self::ReloadWhileDraining | Self::Reload => "reload",
            Self::RestartAtOnce => "restart",
            Self::Kill | Self::KillControl => "kill",
            Self::Freeze => "freeze",
            Self::Wipe => "wipe",
            Self::LinkDelay => "link_delay",
            Self::LinkReset => "link_reset",
            Self::LinkOneWay => "link_one_way",
            Self::LinkSilence => "link_silence",
            Self::LinkTrickle => "link_trickle",
            Self::Upstream(UpstreamFault::Hang) => "upstream_hang",
            Self::Upstream(UpstreamFault::Late) => "upstream_late",
            Self::Upstream(UpstreamFault::Fail) => "upstream_fail",
            Self::Upstream(UpstreamFault::Crossed) => "upstream_crossed",
            Self::Upstream(UpstreamFault::Doubled) => "upstream_doubled",
            Self::Upstream(UpstreamFault::Unframed) => "upstream_unframed",
            Self::Upstream(UpstreamFault::Cut) => "upstream_cut",
            Self::UpstreamCrash => "upstream_crash",
            Self::UpstreamReplaced => "upstream_replaced",
            Self::AddressReused => "address_reused",
            Self::List(ListFault::Lags) => "list_lags",
            Self::List(ListFault::Fails) => "list_fails",
            Self::List(ListFault::Hangs) => "list_hangs",
            Self::List(ListFault::Unreadable) => "list_unreadable",
            Self::ChangeStorm | Self::ChangeRace | Self::InvalidChange => "configuration",
        }
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_millis(), self.lasts.as_millis());
        write!(formatter, "at_ms={at} lasts_ms={lasts} kind={:?} target={}", self.kind, self.target)
    }
}
