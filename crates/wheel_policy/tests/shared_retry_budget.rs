//! Many instances share the retries of a deployment. Whatever share of the requests each gets, and
//! whichever of them start, restart or are cut off, their sum must keep the deployment's limit.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wheel_policy::{SharedBudgetSettings, SharedRetryBudget};
use wheel_types::{MonotonicTime, UpstreamName};

/// The deployment's limit in any window, as its operators state it.
const LIMIT_SHARE: f64 = 0.2;
const LIMIT_EXTRA: f64 = 212.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Part of the limit that the instances use; windows and counts of instances aren't exact.
const USED_PART: f64 = 0.7;
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 600;

/// A deployment whose upstreams refuse every request, so that each would be sent again and again.
struct Deployment {
    random: StdRng,
    now: MonotonicTime,
    instances: Vec<SharedRetryBudget>,
    /// Requests and retries of each step.
    steps: Vec<(f64, f64)>,
}

impl Deployment {
    fn open(instances: usize, seed: u64) -> Self {
        let now = MonotonicTime::from_millis(1_000_000);
        let mut deployment =
            Self { random: StdRng::seed_from_u64(seed), now, instances: Vec::new(), steps: vec![] };
        (0..instances).for_each(|_| deployment.instances.push(deployment.budget()));
        deployment
    }

    fn budget(&self) -> SharedRetryBudget {
        let settings = SharedBudgetSettings {
            share: LIMIT_SHARE * USED_PART,
            extra: LIMIT_EXTRA * USED_PART,
            window: WINDOW,
        };
        SharedRetryBudget::open(settings, self.now)
    }

    /// Restarts an instance.
    fn restart(&mut self, index: usize) {
        self.instances[index] = self.budget();
    }

    /// Tells all instances how many there are.
    fn report(&mut self, count: u32) {
        let now = self.now;
        self.instances.iter_mut().for_each(|budget| budget.set_instances(now, count));
    }

    /// Sends `requests` requests, each to an instance drawn by `draw`.
    fn step(&mut self, requests: usize, draw: impl Fn(&mut StdRng, usize) -> usize) {
        let service = UpstreamName::from("s");
        let mut retries = 0.0;
        for _ in 0..requests {
            let index = draw(&mut self.random, self.instances.len());
            let budget = &mut self.instances[index];
            budget.record_request(self.now, &service);
            retries += f64::from(u8::from(budget.try_retry(self.now, &service)));
            retries += f64::from(u8::from(budget.try_retry(self.now, &service)));
        }
        self.steps.push((requests as f64, retries));
        self.now = self.now + STEP;
    }

    /// The most by which retries exceed their limit in a window; negative if they never do.
    fn worst_excess(&self) -> f64 {
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let excess = |window: &[(f64, f64)]| {
            let (requests, retries) =
                window.iter().fold((0.0, 0.0), |sum, step| (sum.0 + step.0, sum.1 + step.1));
            retries - LIMIT_SHARE * requests - LIMIT_EXTRA
        };
        self.steps.windows(steps).map(excess).fold(f64::MIN, f64::max)
    }
}

fn evenly(random: &mut StdRng, instances: usize) -> usize {
    random.random_range(0..instances)
}

#[test]
fn shared_budget_of_many_instances_keeps_the_deployments_limit() {
    for (instances, requests) in [(7, 10), (86, 40), (300, 40), (1_200, 100)] {
        let mut deployment = Deployment::open(instances, 1);
        deployment.report(instances as u32);
        (0..STEPS).for_each(|_| deployment.step(requests, evenly));
        let excess = deployment.worst_excess();
        assert!(excess <= 0.0, "{instances} instances: {excess}");
    }
}

#[test]
fn shared_budget_after_calm_keeps_the_deployments_limit() {
    // Long enough for any reserve to fill up; then everything fails.
    let mut deployment = Deployment::open(86, 2);
    deployment.report(86);
    deployment.now = deployment.now + Duration::from_secs(3_600);
    (0..STEPS).for_each(|_| deployment.step(40, evenly));
    assert!(deployment.worst_excess() <= 0.0, "{}", deployment.worst_excess());
}

#[test]
fn shared_budget_with_restarts_keeps_the_deployments_limit() {
    let mut deployment = Deployment::open(86, 3);
    for step in 0..STEPS {
        // Each instance is restarted every 8.6 s, as in a rolling update, and later all at once.
        deployment.restart(step % 86);
        if step % 150 == 149 {
            (0..86).for_each(|index| deployment.restart(index));
        }
        deployment.report(86);
        deployment.step(40, evenly);
    }
    assert!(deployment.worst_excess() <= 0.0, "{}", deployment.worst_excess());
}

#[test]
fn shared_budget_with_an_unequal_share_keeps_the_deployments_limit() {
    // A tenth of the instances gets nine tenths of the requests, and others get none.
    let draw = |random: &mut StdRng, instances: usize| match random.random_bool(0.9) {
        true => random.random_range(0..instances / 10),
        false => random.random_range(0..instances / 2),
    };
    let mut deployment = Deployment::open(86, 4);
    deployment.report(86);
    (0..STEPS).for_each(|_| deployment.step(40, draw));
    assert!(deployment.worst_excess() <= 0.0, "{}", deployment.worst_excess());
}

#[test]
fn shared_budget_with_instances_cut_off_keeps_the_deployments_limit() {
    // Data centres that are cut off from each other count their own instances alone.
    let mut deployment = Deployment::open(86, 5);
    deployment.report(86);
    for step in 0..STEPS {
        if step == 200 {
            deployment.report(29);
        }
        deployment.step(40, evenly);
    }
    assert!(deployment.worst_excess() <= 0.0, "{}", deployment.worst_excess());
}

#[test]
fn shared_budget_with_added_instances_keeps_the_deployments_limit() {
    let mut deployment = Deployment::open(40, 6);
    deployment.report(40);
    for step in 0..STEPS {
        if (200..246).contains(&step) {
            let budget = deployment.budget();
            deployment.instances.push(budget);
        }
        // The others learn of them half a second later.
        if step == 251 {
            deployment.report(86);
        }
        deployment.step(40, evenly);
    }
    assert!(deployment.worst_excess() <= 0.0, "{}", deployment.worst_excess());
}

#[test]
fn shared_budget_allows_retries_of_rare_requests() {
    let mut budget = Deployment::open(0, 7).budget();
    let service = UpstreamName::from("s");
    let mut now = MonotonicTime::from_millis(1_000_000) + WINDOW;
    for _ in 0..10 {
        budget.set_instances(now, 7);
        budget.record_request(now, &service);
        assert!(budget.try_retry(now, &service), "one request a minute");
        now = now + Duration::from_secs(60);
    }
}
