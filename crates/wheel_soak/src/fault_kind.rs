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
    /// SIGTERM and, while the process drains, SIGTERM again.
    SecondSignal,
    /// SIGTERM and, while the process drains, SIGHUP.
    ReloadWhileDraining,
    /// SIGHUP.
    Reload,
    /// SIGTERM; started again as soon as the process has ended.
    RestartAtOnce,
    /// SIGKILL.
    Kill,
    /// SIGKILL to all control instances at once.
    KillControl,
    /// SIGSTOP for longer than the lease.
    Freeze,
    /// A control instance is killed and starts again without its data.
    Wipe,
    /// Syncs of a control instance's disk take longer; needs a program with the seams of tests.
    DiskSlow,
    /// Writes and syncs of such a disk hang; needs the same.
    DiskStalled,
    /// Such a disk refuses writes; needs the same.
    DiskFull,
    /// A process's time of day jumps, and jumps back; needs the same.
    ClockDay,
    /// A process's `CLOCK_BOOTTIME` jumps ahead, as after a suspension; needs the same.
    ClockBoot,
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
    /// Many configurations, each while others are under way.
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
    /// All entries, or the first ones.
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
    /// How long it acts, or how long a process is away once it has ended.
    pub lasts: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// The name that the checker knows it by: all ways to stop a process have one.
    pub name: &'static str,
    /// On whom it acts.
    pub target: FaultTarget,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, lasts, kind, target, .. } = self;
        let (at, lasts) = (at.as_millis(), lasts.as_millis());
        write!(formatter, "at_ms={at} lasts_ms={lasts} kind={kind:?} target={target:?}")
    }
}
