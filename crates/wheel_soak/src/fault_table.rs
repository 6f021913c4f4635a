//! The kinds of fault with their weights, targets and durations.

use std::ops::Range;

use crate::{AnswerPhase, FaultKind, HeadPart, ListFault, OddEntry, ResumeAnswer, UpstreamFault};

/// Durations of faults in milliseconds: of most faults; of brief ones; of a freeze, which outlasts the
/// lease and a confirmation of the order authority; and of the downtime of a process.
const DEFAULT_MS: Range<u64> = 500..4_000;
const BRIEF_MS: Range<u64> = 50..200;
const BEYOND_LEASE_MS: Range<u64> = 3_800..6_500;
pub(crate) const DOWNTIME_MS: Range<u64> = 200..3_000;
/// Durations of faults that an announced stop or a signal falls into.
const WIDE_MS: Range<u64> = 4_000..9_000;

/// The group that a target is drawn from.
#[derive(Clone, Copy)]
pub(crate) enum TargetGroup {
    /// Any process, with a preference for ingress instances.
    Process,
    Entries,
    /// One control instance.
    Control,
    AllControl,
    /// A link to an ingress instance or to an upstream.
    Link,
    Upstream,
    AllUpstreams,
    List,
    Operators,
}

/// A kind, its name, its weight in the draw, its targets and its duration in milliseconds.
pub(crate) type KindRow = (FaultKind, &'static str, u32, TargetGroup, Range<u64>);

/// Faults of each kind of target.
pub(crate) const KINDS: [KindRow; 37] = {
    use FaultKind::*;
    use TargetGroup as On;
    use UpstreamFault::*;
    [
        (Terminate, "terminate", 6, On::Process, DOWNTIME_MS),
        (TerminateSeries, "terminate", 2, On::Entries, DOWNTIME_MS),
        (TerminatePair, "terminate", 2, On::Entries, DOWNTIME_MS),
        (SecondSignal, "second_signal", 2, On::Process, DOWNTIME_MS),
        (ReloadWhileDraining, "terminate", 2, On::Process, DOWNTIME_MS),
        (Reload, "reload", 1, On::Process, BRIEF_MS),
        (RestartAtOnce, "restart", 3, On::Process, BRIEF_MS),
        (Kill, "kill", 4, On::Process, DOWNTIME_MS),
        (KillControl, "kill", 1, On::AllControl, DOWNTIME_MS),
        (Freeze, "freeze", 4, On::Process, BEYOND_LEASE_MS),
        (Wipe, "wipe", 2, On::Control, DOWNTIME_MS),
        (DiskSlow, "disk_slow", 2, On::Control, DEFAULT_MS),
        (DiskStalled, "disk_stalled", 2, On::Control, DEFAULT_MS),
        (DiskFull, "disk_full", 2, On::Control, DEFAULT_MS),
        (ClockDay, "clock_day", 2, On::Process, DEFAULT_MS),
        (ClockBoot, "clock_boot", 2, On::Process, DEFAULT_MS),
        (LinkDelay, "link_delay", 2, On::Link, DEFAULT_MS),
        (LinkReset, "link_reset", 3, On::Link, BRIEF_MS),
        (LinkOneWay, "link_one_way", 2, On::Link, DEFAULT_MS),
        (LinkSilence, "link_silence", 2, On::Link, DEFAULT_MS),
        (LinkTrickle, "link_trickle", 2, On::Link, DEFAULT_MS),
        (Upstream(Hang), "upstream_hang", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Late), "upstream_late", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Fail), "upstream_fail", 1, On::Upstream, DEFAULT_MS),
        (Upstream(Crossed), "upstream_crossed", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Doubled), "upstream_doubled", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Unframed), "upstream_unframed", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Cut), "upstream_cut", 2, On::Upstream, DEFAULT_MS),
        (UpstreamCrash, "upstream_crash", 3, On::Upstream, DEFAULT_MS),
        (UpstreamReplaced, "upstream_replaced", 3, On::Upstream, DEFAULT_MS),
        (AddressReused, "address_reused", 1, On::Upstream, BRIEF_MS),
        (List(ListFault::Lags), "list_lags", 1, On::List, DEFAULT_MS),
        (List(ListFault::Fails), "list_fails", 1, On::List, DEFAULT_MS),
        (List(ListFault::Unreadable), "list_unreadable", 1, On::List, DEFAULT_MS),
        (ChangeStorm, "configuration", 3, On::Operators, BRIEF_MS),
        (ChangeRace, "configuration", 3, On::Operators, BRIEF_MS),
        (InvalidChange, "configuration", 2, On::Operators, BRIEF_MS),
    ]
};

/// Faults of upstreams and of the list that leave the process, its connections and its links alone.
pub(crate) const DISORDERS: [KindRow; 19] = {
    use AnswerPhase::*;
    use FaultKind::*;
    use OddEntry::*;
    use TargetGroup as On;
    use UpstreamFault::*;
    const ODD: &str = "list_odd";
    [
        (Upstream(Silent(Head)), "upstream_silent", 3, On::AllUpstreams, WIDE_MS),
        (Upstream(Silent(FirstEvent)), "upstream_silent", 3, On::AllUpstreams, WIDE_MS),
        (Upstream(Silent(Middle)), "upstream_silent", 3, On::AllUpstreams, WIDE_MS),
        (Upstream(HeadOnly), "upstream_head_only", 3, On::Upstream, DEFAULT_MS),
        (Upstream(Endless(Head)), "upstream_endless", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Endless(FirstEvent)), "upstream_endless", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Endless(Middle)), "upstream_endless", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Crossed), "upstream_crossed", 2, On::AllUpstreams, DEFAULT_MS),
        (Upstream(Breaks), "upstream_breaks", 4, On::AllUpstreams, WIDE_MS),
        (UpstreamCrash, "upstream_crash", 2, On::AllUpstreams, BRIEF_MS),
        (List(ListFault::Odd(Nested)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(HugeNumber)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Surrogate)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Bytes)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Port)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Slots)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Nameless)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Twin)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(SameAddress)), ODD, 1, On::List, WIDE_MS),
    ]
};

/// Odd answers of upstreams: refusals that come twice, odd answers to resumed streams
/// and heads that stop.
pub(crate) const ANSWERS: [KindRow; 18] = {
    use FaultKind::*;
    use HeadPart::*;
    use ResumeAnswer::*;
    use TargetGroup as On;
    use UpstreamFault::*;
    const RESUMES: &str = "upstream_resumes";
    const STOPS: &str = "upstream_stops_in_head";
    const fn stops(part: HeadPart, is_reset: bool) -> FaultKind {
        Upstream(StopsInHead { part, is_reset })
    }
    [
        (Upstream(Refuses), "upstream_refuses", 8, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(NoBytes)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(NoChunks)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(NoContent)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(Text)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(EventAndHead)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(ClosedHead)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (Upstream(Resumes(ErrorEvent)), RESUMES, 2, On::AllUpstreams, WIDE_MS),
        (stops(HeaderName, false), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(HeaderName, true), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(HeaderLine, false), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(HeaderLine, true), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(Length, false), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(Length, true), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(LastBreak, false), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(LastBreak, true), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
        (stops(Unbounded, false), STOPS, 3, On::AllUpstreams, DEFAULT_MS),
        (stops(Unbounded, true), STOPS, 1, On::AllUpstreams, DEFAULT_MS),
    ]
};
