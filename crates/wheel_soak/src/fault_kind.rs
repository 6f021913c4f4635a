//! The kinds of fault that a soak injects, and their targets.

use std::fmt;
use std::time::Duration;

use crate::{ListFault, UpstreamFault};

/// One kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// SIGTERM.
    Terminate,
    /// SIGTERM to all ingress instances, one after another.
    TerminateSeries,
    /// SIGTERM to two ingress instances at once.
    TerminatePair,
    /// SIGTERM and, while the process drains, SIGTERM again.
    SecondSignal,
    /// SIGTERM and, while the process drains, SIGHUP.
    ReloadWhileDraining,
    /// SIGHUP.
    Reload,
    /// SIGTERM, and a restart as soon as the process has exited.
    RestartAtOnce,
    /// SIGKILL.
    Kill,
    /// SIGKILL to all control instances at once.
    KillControl,
    /// SIGTERM to the control instance that sends the next order and then to its successor, while all
    /// engines lose their models, so that both have orders to send.
    HolderStop,
    /// A control instance is killed and, once the spare one has replaced it, the other ones get SIGTERM
    /// one after another, so that the spare one leads when it is back. Then one of the others loses its
    /// data.
    VoterReplaced {
        /// The index of the control instance that is killed.
        away: usize,
    },
    /// SIGSTOP for longer than the lease.
    Freeze,
    /// A control instance is killed and restarted without its data.
    Wipe,
    /// The same before the first configuration is acknowledged; it returns with `bootstrap` false.
    WipeAtStart,
    /// Syncs of a control instance's disk are slow; needs a program with test seams.
    DiskSlow,
    /// Writes and syncs of a control instance's disk hang; needs test seams.
    DiskStalled,
    /// A control instance's disk refuses writes; needs test seams.
    DiskFull,
    /// The time of day of a process jumps, and jumps back; needs test seams.
    ClockDay,
    /// `CLOCK_BOOTTIME` of a process jumps ahead, as after a suspension; needs test seams.
    ClockBoot,
    /// The link delays everything.
    LinkDelay,
    /// The link resets all connections.
    LinkReset,
    /// The link loses answers.
    LinkOneWay,
    /// The link forwards nothing.
    LinkSilence,
    /// The link forwards a few bytes at a time.
    LinkTrickle,
    /// An upstream misbehaves in this way.
    Upstream(UpstreamFault),
    /// An upstream crashes and returns under the same id.
    UpstreamCrash,
    /// An upstream leaves and returns under another id.
    UpstreamReplaced,
    /// Two upstreams of different services stop and exchange their addresses.
    AddressReused,
    /// The instance list misbehaves in this way.
    List(ListFault),
    /// Many configurations, each sent while others are in progress.
    ChangeStorm,
    /// Two concurrent operators, with equal and with out-of-order versions.
    ChangeRace,
    /// Configurations that must be refused.
    InvalidChange,
}

/// The target of a fault, by index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultTarget {
    /// A process.
    Process(usize),
    /// All ingress instances, or the first ones.
    Entries,
    /// All control instances.
    Control,
    /// The link between callers and an ingress instance, by the index of the instance.
    CallerLink(usize),
    /// The link to an upstream.
    UpstreamLink(usize),
    /// An upstream.
    Upstream(usize),
    /// All upstreams.
    AllUpstreams,
    /// The instance list.
    List,
    /// The operators.
    Operators,
}

/// A fault with its target and times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// When it begins, counted from the earliest possible time of a fault.
    pub at: Duration,
    /// How long it acts, or how long a process stays down after its exit.
    pub duration: Duration,
    /// The kind of fault.
    pub kind: FaultKind,
    /// The name that the checker uses; kinds that stop a process in a similar way share one.
    pub name: &'static str,
    /// The target.
    pub target: FaultTarget,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, duration, kind, target, .. } = self;
        let (at, duration) = (at.as_millis(), duration.as_millis());
        write!(formatter, "at_ms={at} lasts_ms={duration} kind={kind:?} target={target:?}")
    }
}
