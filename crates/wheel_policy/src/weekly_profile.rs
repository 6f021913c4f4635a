//! Distribution of demand over a week of local time.

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
/// Share of a bin's history that is kept when the same bin of the next week starts.
const WEEK_DECAY: f64 = 0.7;
/// Weight of the wider average as the prior of a narrower one, in hours.
const PRIOR_HOURS: f64 = 0.25;
/// Longest gap that is counted bin by bin, in seconds: two weeks.
const MAX_GAP_S: i64 = 14 * 24 * 3_600;

/// Arrivals and observed hours in each quarter of an hour of the local week.
///
/// Bins are in local time and count the hours that really passed: in the repeated hour of a clock
/// change a bin counts twice the time and in the skipped hour none, so neither distorts its rate.
#[derive(Clone, Debug)]
pub(crate) struct WeeklyProfile {
    zone: TimeZone,
    bins: Vec<ProfileBin>,
    counted_until: Option<Timestamp>,
    /// The bin that was counted last, numbered from the Unix epoch.
    current_bin: Option<i64>,
    total: ProfileBin,
}

/// Arrivals and the hours in which they came, both decaying with age.
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
            counted_until: None,
            current_bin: None,
            total: ProfileBin::default(),
        }
    }

    /// Counts the time up to `at` as observed.
    pub(crate) fn advance(&mut self, at: Timestamp) {
        let Some(counted_until) = self.counted_until else {
            self.counted_until = Some(at);
            return;
        };
        let mut cursor = counted_until.as_second().max(at.as_second() - MAX_GAP_S);
        while cursor < at.as_second() {
            let bin_end = (cursor.div_euclid(BIN_SECONDS) + 1) * BIN_SECONDS;
            let end = bin_end.min(at.as_second());
            self.count_time(cursor, end);
            cursor = end;
        }
        self.counted_until = Some(counted_until.max(at));
    }

    /// Counts arrivals at `at`.
    pub(crate) fn record(&mut self, at: Timestamp, count: u32) {
        self.advance(at);
        let index = self.start_bin(at);
        self.bins[index].arrivals += f64::from(count);
        self.total.arrivals += f64::from(count);
    }

    /// Expected arrivals per hour at `at`, from the same time on this weekday, on similar days, and
    /// at any time, each weighted by the hours observed.
    pub(crate) fn rate(&self, at: Timestamp) -> f64 {
        let index = self.index(at);
        let overall = self.total.rate_with_prior(0.0);
        let similar_days = self.similar_days(index).rate_with_prior(overall);
        let near = self.smoothed(index);
        near.rate_with_prior(similar_days)
    }

    /// Observed hours, decaying with age.
    pub(crate) fn hours(&self) -> f64 {
        self.total.hours
    }

    /// Observed arrivals, decaying with age.
    pub(crate) fn arrivals(&self) -> f64 {
        self.total.arrivals
    }

    fn count_time(&mut self, from_s: i64, to_s: i64) {
        let Ok(from) = Timestamp::from_second(from_s) else { return };
        let index = self.start_bin(from);
        let hours = (to_s - from_s) as f64 / 3_600.0;
        self.bins[index].hours += hours;
        self.total.decay(WEEK_DECAY.powf(hours / (24.0 * 7.0)));
        self.total.hours += hours;
    }

    /// The bin of `at`; its history decays once each time that it starts.
    fn start_bin(&mut self, at: Timestamp) -> usize {
        let index = self.index(at);
        let number = at.as_second().div_euclid(BIN_SECONDS);
        let bin = &mut self.bins[index];
        if self.current_bin != Some(number) && bin.hours >= BIN_HOURS {
            bin.decay(WEEK_DECAY);
        }
        self.current_bin = Some(number);
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
    fn similar_days(&self, index: usize) -> ProfileBin {
        let weekend =
            |day: usize| day > usize::from(Weekday::Friday.to_monday_zero_offset().unsigned_abs());
        let own_day = index / DAY_BINS;
        let days = (0..7).filter(|day| weekend(*day) == weekend(own_day));
        days.fold(ProfileBin::default(), |sum, day| {
            sum.plus(self.bins[day * DAY_BINS + index % DAY_BINS], 1.0)
        })
    }

    /// The bin, smoothed with half the weight of each neighbour.
    fn smoothed(&self, index: usize) -> ProfileBin {
        let before = self.bins[(index + WEEK_BINS - 1) % WEEK_BINS];
        let after = self.bins[(index + 1) % WEEK_BINS];
        self.bins[index].plus(before, 0.5).plus(after, 0.5)
    }
}

impl ProfileBin {
    fn decay(&mut self, share: f64) {
        self.arrivals *= share;
        self.hours *= share;
    }

    fn plus(self, other: Self, weight: f64) -> Self {
        Self {
            arrivals: self.arrivals + weight * other.arrivals,
            hours: self.hours + weight * other.hours,
        }
    }

    /// Arrivals per hour, drawn towards `prior` while few hours were observed.
    fn rate_with_prior(self, prior: f64) -> f64 {
        (self.arrivals + prior * PRIOR_HOURS) / (self.hours + PRIOR_HOURS)
    }
}
