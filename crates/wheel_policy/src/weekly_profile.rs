//! How demand spreads over a week of local time.

use jiff::Timestamp;
use jiff::civil::Weekday;
use jiff::tz::TimeZone;

/// Minutes that one bin covers.
const BIN_MINUTES: usize = 15;
/// Bins of a day and of a week.
const DAY_BINS: usize = 24 * 60 / BIN_MINUTES;
const WEEK_BINS: usize = 7 * DAY_BINS;
const BIN_SECONDS: i64 = BIN_MINUTES as i64 * 60;
const BIN_HOURS: f64 = BIN_MINUTES as f64 / 60.0;
/// What is kept of a bin's history when its next week begins.
const WEEK_DECAY: f64 = 0.7;
/// Hours of the wider average that a narrower one starts with.
const PRIOR_HOURS: f64 = 0.25;
/// Longest gap that is walked bin by bin, in seconds: two weeks.
const MAX_GAP_S: i64 = 14 * 24 * 3_600;

/// Arrivals and hours seen in each quarter of an hour of the local week.
///
/// Bins are of local time and count the hours that were really seen: in the doubled hour of a clock
/// change a bin is seen twice as long, in the missing hour not at all, and neither bends its rate.
#[derive(Clone, Debug)]
pub(crate) struct WeeklyProfile {
    zone: TimeZone,
    bins: Vec<ProfileBin>,
    seen: Option<Timestamp>,
    current: Option<i64>,
    total: ProfileBin,
}

/// Arrivals over hours, both fading with age.
#[derive(Clone, Copy, Debug, Default)]
struct ProfileBin {
    arrivals: f64,
    hours: f64,
}

impl WeeklyProfile {
    /// An empty profile on the clock of `zone`.
    pub(crate) fn new(zone: TimeZone) -> Self {
        Self {
            zone,
            bins: vec![ProfileBin::default(); WEEK_BINS],
            seen: None,
            current: None,
            total: ProfileBin::default(),
        }
    }

    /// Counts the time up to `at` as seen.
    pub(crate) fn advance(&mut self, at: Timestamp) {
        let Some(seen) = self.seen else {
            self.seen = Some(at);
            return;
        };
        let mut cursor = seen.as_second().max(at.as_second() - MAX_GAP_S);
        while cursor < at.as_second() {
            let bin_end = (cursor.div_euclid(BIN_SECONDS) + 1) * BIN_SECONDS;
            let end = bin_end.min(at.as_second());
            self.see(cursor, end);
            cursor = end;
        }
        self.seen = Some(seen.max(at));
    }

    /// Counts arrivals at `at`.
    pub(crate) fn record(&mut self, at: Timestamp, count: u32) {
        self.advance(at);
        let index = self.enter(at);
        self.bins[index].arrivals += f64::from(count);
        self.total.arrivals += f64::from(count);
    }

    /// Arrivals an hour expected at `at`, from the same time on this weekday, on like days, and at
    /// any time, each as far as it was seen.
    pub(crate) fn rate(&self, at: Timestamp) -> f64 {
        let index = self.index(at);
        let overall = self.total.rate_with(0.0);
        let like_days = self.like_days(index).rate_with(overall);
        let near = self.smoothed(index);
        near.rate_with(like_days)
    }

    /// Hours seen so far, fading with age.
    pub(crate) fn hours(&self) -> f64 {
        self.total.hours
    }

    /// Arrivals seen so far, fading with age.
    pub(crate) fn arrivals(&self) -> f64 {
        self.total.arrivals
    }

    fn see(&mut self, from_s: i64, to_s: i64) {
        let Ok(from) = Timestamp::from_second(from_s) else { return };
        let index = self.enter(from);
        let hours = (to_s - from_s) as f64 / 3_600.0;
        self.bins[index].hours += hours;
        self.total.fade(WEEK_DECAY.powf(hours / (24.0 * 7.0)));
        self.total.hours += hours;
    }

    /// The bin of `at`; its history fades once each time that it begins.
    fn enter(&mut self, at: Timestamp) -> usize {
        let index = self.index(at);
        let number = at.as_second().div_euclid(BIN_SECONDS);
        let bin = &mut self.bins[index];
        if self.current != Some(number) && bin.hours >= BIN_HOURS {
            bin.fade(WEEK_DECAY);
        }
        self.current = Some(number);
        index
    }

    fn index(&self, at: Timestamp) -> usize {
        let local = self.zone.to_datetime(at);
        let day = usize::from(local.weekday().to_monday_zero_offset().unsigned_abs());
        let minute = usize::from(local.hour().unsigned_abs()) * 60
            + usize::from(local.minute().unsigned_abs());
        day * DAY_BINS + minute / BIN_MINUTES
    }

    /// The same time on all workdays, or on all days of the weekend.
    fn like_days(&self, index: usize) -> ProfileBin {
        let weekend =
            |day: usize| day > usize::from(Weekday::Friday.to_monday_zero_offset().unsigned_abs());
        let own_day = index / DAY_BINS;
        let days = (0..7).filter(|day| weekend(*day) == weekend(own_day));
        days.fold(ProfileBin::default(), |sum, day| {
            sum.plus(self.bins[day * DAY_BINS + index % DAY_BINS], 1.0)
        })
    }

    /// The bin with half of its neighbours.
    fn smoothed(&self, index: usize) -> ProfileBin {
        let before = self.bins[(index + WEEK_BINS - 1) % WEEK_BINS];
        let after = self.bins[(index + 1) % WEEK_BINS];
        self.bins[index].plus(before, 0.5).plus(after, 0.5)
    }
}

impl ProfileBin {
    fn fade(&mut self, share: f64) {
        self.arrivals *= share;
        self.hours *= share;
    }

    fn plus(self, other: Self, weight: f64) -> Self {
        Self {
            arrivals: self.arrivals + weight * other.arrivals,
            hours: self.hours + weight * other.hours,
        }
    }

    /// Arrivals an hour, drawn towards `prior` as long as little was seen.
    fn rate_with(self, prior: f64) -> f64 {
        (self.arrivals + prior * PRIOR_HOURS) / (self.hours + PRIOR_HOURS)
    }
}
