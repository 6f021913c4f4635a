//! An ingress instance's part of teams' allowances.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{AllowanceDemand, AllowanceReply, TeamAllowance};
use wheel_types::MonotonicTime;

use crate::team_share::TeamShare;
use crate::{AllowanceBounds, AmountBatch};

/// Time for which a count of instances is kept: longer than an instance may be away and come back
/// with its advance.
const COUNT_LIFETIME: Duration = Duration::from_secs(60);
/// Time without a reply after which no grant is waited for: two calls that failed.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// Time for which a call without a reply counts.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(1);
/// The `Retry-After` while no control instance replies: time to find another one.
const SILENT_RETRY: Duration = Duration::from_secs(1);
/// Maximum number of requests that wait at an instance.
const MAX_WAITING: usize = 1_000;
/// Time after which a team without requests is forgotten. Its advance is repaid by then, or its use
/// is long past.
const IDLE_LIFETIME: Duration = Duration::from_secs(120);
/// Age of a charge up to which its request may be sent with it. With the longest time for a connection
/// (250 ms) and the way to another data centre it stays below the time that
/// [`AllowancePlan`](crate::AllowancePlan) allows for a send.
const MAX_CHARGE_AGE: Duration = Duration::from_millis(40);
/// Time without a grant after which this instance may be cut off from the leader. Counts of instances
/// may then miss those on the other side, so that earlier ones are kept.
const CONTACT_LIFETIME: Duration = Duration::from_secs(10);

/// Objectives that separate the ranks of a team's requests: calls of which a person notices each
/// wait, the first words of an answer, longer texts, and what is read later.
const OBJECTIVE_CLASSES: [Duration; 3] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_millis(2_500)];

/// A request that needs units of its team's allowance.
#[derive(Clone, Debug)]
pub struct AllowanceQuery {
    /// The team.
    pub team: Arc<str>,
    /// What the team may use.
    pub allowance: TeamAllowance,
    /// The version of the configuration that says so.
    pub version: u64,
    /// Which of the team's requests go first; see [`AllowanceQuery::rank_of`].
    pub rank: u8,
    /// The units that it needs.
    pub cost: u64,
    /// How long it may wait for them.
    pub max_wait: Duration,
}

impl AllowanceQuery {
    /// The rank of a request among those of its team: the shorter its objective, the less it can wait.
    /// The team's own rank is that of all of them.
    pub fn rank_of(objective: Duration) -> u8 {
        OBJECTIVE_CLASSES.iter().filter(|limit| objective > **limit).count() as u8
    }
}

/// Units taken for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TakenUnits {
    /// The team.
    pub team: Arc<str>,
    /// Units in all.
    pub cost: u64,
    /// When they were taken.
    pub taken: MonotonicTime,
    /// Those that were granted.
    pub(crate) batches: Vec<AmountBatch>,
    /// Those beyond what was granted.
    pub(crate) advance: u64,
}

impl TakenUnits {
    /// Whether a send at `now` still counts in the time for which the units were granted.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.taken) <= MAX_CHARGE_AGE
    }
}

/// Identifies a waiting request of this instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UseId(pub(crate) u64);

/// What happens to a request that needs units.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllowanceDecision {
    /// It has them.
    Taken(TakenUnits),
    /// It waits; see [`AllowanceShare::receive`].
    Waiting(UseId),
    /// It can't have them in time, but probably after this time.
    Refused(Duration),
}

/// Decides which requests of an ingress instance have units of their team's allowance, which holds
/// for all instances together.
///
/// Units are granted by the leader of the control instances, as this one asks for them, and lapse
/// soon. A request without any uses the instance's advance, which later grants repay, or waits. The
/// requests of a team are served by rank, then by arrival; a small one doesn't overtake a large one.
#[derive(Clone, Debug)]
pub struct AllowanceShare {
    bounds: AllowanceBounds,
    started: MonotonicTime,
    teams: BTreeMap<Arc<str>, TeamShare>,
    /// The numbers of instances of the last minute that no later one exceeds.
    counts: VecDeque<(MonotonicTime, u32)>,
    /// When the last grant was received.
    granted: MonotonicTime,
    /// When control instances were first and last asked since the last reply.
    unanswered: Option<(MonotonicTime, MonotonicTime)>,
    next: u64,
}

impl AllowanceShare {
    /// Creates a share of a process that started at `started`.
    pub fn open(bounds: AllowanceBounds, started: MonotonicTime) -> Self {
        Self {
            bounds,
            started,
            teams: BTreeMap::new(),
            counts: VecDeque::new(),
            granted: MonotonicTime::default(),
            unanswered: None,
            next: 0,
        }
    }

    /// Takes over the deployment's bounds.
    pub fn set_bounds(&mut self, bounds: AllowanceBounds) {
        self.bounds = bounds;
    }

    /// Records the number of ingress instances, as known to a control instance.
    pub fn record_instances(&mut self, now: MonotonicTime, count: u32) {
        while self.counts.back().is_some_and(|(_, known)| *known <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        if now.since(self.granted) > CONTACT_LIFETIME
            && let Some((at, _)) = self.counts.front_mut()
        {
            *at = now;
        }
        while self.counts.len() > 1
            && self.counts.front().is_some_and(|(at, _)| now.since(*at) > COUNT_LIFETIME)
        {
            self.counts.pop_front();
        }
    }

    /// Takes units for a request, or has it wait for them.
    pub fn ask(&mut self, now: MonotonicTime, query: &AllowanceQuery) -> AllowanceDecision {
        let advance_share = self.advance_share(now);
        let is_silent = self.is_silent(now);
        let waiting: usize = self.teams.values().map(TeamShare::waiting_count).sum();
        let (id, bounds) = (UseId(self.next), self.bounds);
        let begun = || TeamShare::open(Arc::clone(&query.team), query, &bounds);
        let team = self.teams.entry(Arc::clone(&query.team)).or_insert_with(begun);
        team.update(now, query, &bounds);
        if let Some(taken) = team.take_at_once(now, query, advance_share) {
            return AllowanceDecision::Taken(taken);
        }
        let expected = team.expected_wait(now, query.rank, query.cost, advance_share);
        match is_silent {
            true => {
                team.record_missed(query.cost);
                AllowanceDecision::Refused(SILENT_RETRY)
            }
            false if waiting >= MAX_WAITING || expected > query.max_wait => {
                AllowanceDecision::Refused(expected)
            }
            false => {
                team.begin_wait(now, id, query);
                self.next += 1;
                AllowanceDecision::Waiting(id)
            }
        }
    }

    /// Ends the wait of a request without units. Returns how long it would have had to wait on.
    pub fn leave(&mut self, now: MonotonicTime, team: &str, id: UseId) -> Duration {
        let (is_silent, advance_share) = (self.is_silent(now), self.advance_share(now));
        let Some(team) = self.teams.get_mut(team) else { return SILENT_RETRY };
        let Some((rank, cost)) = team.end_wait(id) else { return Duration::ZERO };
        if is_silent { SILENT_RETRY } else { team.expected_wait(now, rank, cost, advance_share) }
    }

    /// Gives back the units of a request that certainly didn't run. They lapse as before.
    pub fn refund(&mut self, now: MonotonicTime, taken: TakenUnits) {
        if let Some(team) = self.teams.get_mut(&taken.team) {
            team.refund(now, taken);
        }
    }

    /// What to ask the control instance for.
    pub fn demand(&mut self, now: MonotonicTime) -> Vec<AllowanceDemand> {
        self.teams.retain(|_, team| !team.is_idle(now, IDLE_LIFETIME));
        let demand: Vec<AllowanceDemand> =
            self.teams.values_mut().flat_map(|team| team.demand(now)).collect();
        if !demand.is_empty() {
            let first = match self.unanswered {
                Some((first, last)) if now.since(last) < UNANSWERED_LIFETIME => first,
                _ => now,
            };
            self.unanswered = Some((first, now));
        }
        demand
    }

    /// Takes over the reply of a control instance to what was asked for at `called`. Returns the
    /// waiting requests that have their units now.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        called: MonotonicTime,
        asked: &[AllowanceDemand],
        reply: &AllowanceReply,
    ) -> Vec<(UseId, TakenUnits)> {
        self.unanswered = None;
        if !reply.grants.is_empty() {
            self.granted = now;
        }
        for grant in &reply.grants {
            let end = called + Duration::from_millis(grant.life_ms);
            if let Some(team) = self.teams.get_mut(&grant.team) {
                team.receive(now, AmountBatch { amount: grant.amount, end });
            }
        }
        for wait in &reply.waits {
            if let Some(team) = self.teams.get_mut(&wait.team) {
                team.set_wait(now, wait.rank, Duration::from_millis(wait.wait_ms));
            }
        }
        for want in asked {
            let is_granted = reply.grants.iter().any(|grant| grant.team == want.team);
            if let Some(team) = self.teams.get_mut(&want.team).filter(|_| !is_granted) {
                team.delay_ask(now, want.rank);
            }
        }
        self.serve(now)
    }

    /// The waiting requests that have their units now.
    pub fn serve(&mut self, now: MonotonicTime) -> Vec<(UseId, TakenUnits)> {
        let advance_share = self.advance_share(now);
        self.teams.values_mut().flat_map(|team| team.serve(now, advance_share)).collect()
    }

    /// Whether a control instance should be asked at once: for requests that wait, or for an advance,
    /// so that the next request needn't wait.
    pub fn is_urgent(&self, now: MonotonicTime) -> bool {
        let advance_share = self.advance_share(now);
        self.teams.values().any(|team| team.may_ask(now, advance_share))
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.teams.values().any(|team| team.waiting_count() > 0)
    }

    /// The part of the advance that this instance has.
    fn advance_share(&self, now: MonotonicTime) -> f64 {
        let count = self.counts.front().map_or(0, |(_, count)| *count);
        let has_advance = count > 0 && now.since(self.started) >= self.bounds.advance_pause();
        if has_advance { 1.0 / f64::from(count) } else { 0.0 }
    }

    fn is_silent(&self, now: MonotonicTime) -> bool {
        self.unanswered.is_some_and(|(first, last)| {
            now.since(first) > SILENCE_LIMIT && now.since(last) < UNANSWERED_LIFETIME
        })
    }
}
