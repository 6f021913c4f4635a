//! Leases must never hold more than their budget, whatever readers do at once, and must give all of
//! it back.

#![allow(clippy::expect_used)]

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wheel_memory::{BudgetExhausted, BudgetScope, ByteBudget, LeasedBuffer};

const MIB: usize = 1 << 20;

fn whole_exhausted() -> BudgetExhausted {
    BudgetExhausted { scope: BudgetScope::Whole }
}

fn part_exhausted() -> BudgetExhausted {
    BudgetExhausted { scope: BudgetScope::Part }
}

#[test]
fn lease_gives_all_back_on_drop() {
    let budget = ByteBudget::new(4 * MIB);
    let mut lease = budget.lease();
    lease.resize(2 * MIB).expect("free bytes");
    lease.resize(MIB).expect("less is always possible");
    assert_eq!(budget.held(), MIB);
    drop(lease);
    assert_eq!(budget.held(), 0);
}

#[test]
fn lease_refused_keeps_what_it_has() {
    let budget = ByteBudget::new(4 * MIB);
    let mut lease = budget.lease();
    lease.resize(MIB).expect("free bytes");
    assert_eq!(lease.resize(5 * MIB), Err(whole_exhausted()));
    assert_eq!((lease.bytes(), budget.held()), (MIB, MIB));
    assert_eq!(lease.resize(usize::MAX), Err(whole_exhausted()));
    assert_eq!(budget.held(), MIB);
}

#[test]
fn large_leases_yield_before_small_ones() {
    let budget = ByteBudget::new(4 * MIB);
    let mut large = budget.lease();
    large.resize(3 * MIB).expect("three quarters are for all leases");
    assert_eq!(large.resize(3 * MIB + 1), Err(whole_exhausted()));
    let mut small: Vec<_> = (0..16).map(|_| budget.lease()).collect();
    for lease in &mut small {
        lease.resize(64 << 10).expect("the last quarter is for small leases");
    }
    assert_eq!(budget.lease().resize(1), Err(whole_exhausted()));
}

#[test]
fn one_part_leaves_the_rest_to_others() {
    let budget = ByteBudget::new(16 * MIB);
    let (faulty, sound) = (budget.part(4), budget.part(4));
    let mut leases: Vec<_> = (0..64).map(|_| faulty.lease()).collect();
    let refused = leases.iter_mut().filter_map(|lease| lease.resize(MIB).err()).collect::<Vec<_>>();
    assert_eq!(refused, vec![part_exhausted(); 61]);
    assert_eq!((faulty.held(), budget.held()), (3 * MIB, 3 * MIB));
    sound.lease().resize(3 * MIB).expect("the part of another upstream");
}

#[test]
fn part_refused_by_the_whole_holds_nothing() {
    let budget = ByteBudget::new(4 * MIB);
    let part = budget.part(1);
    let mut lease = budget.lease();
    lease.resize(3 * MIB).expect("free bytes");
    assert_eq!(part.lease().resize(2 * MIB), Err(whole_exhausted()));
    assert_eq!((part.held(), budget.held()), (0, 3 * MIB));
}

#[test]
fn part_follows_a_changed_limit() {
    let budget = ByteBudget::new(4 * MIB);
    let part = budget.part(4);
    budget.set_limit(16 * MIB);
    assert_eq!((budget.limit(), part.limit()), (16 * MIB, 4 * MIB));
}

#[test]
fn buffer_of_many_pieces_is_whole_and_counted() {
    let budget = ByteBudget::new(64 * MIB);
    let mut buffer = LeasedBuffer::new(budget.lease());
    let piece: Vec<u8> = (0..=255).collect();
    for _ in 0..1_000 {
        buffer.push(&piece).expect("free bytes");
        assert!(budget.held() >= buffer.len());
    }
    let bytes = buffer.freeze();
    assert_eq!(bytes.len(), 256_000);
    assert!(bytes.chunks(256).all(|chunk| chunk == piece));
    let slice = bytes.slice(10..20);
    drop(bytes);
    assert!(budget.held() >= 256_000, "a part of the bytes keeps them all");
    drop(slice);
    assert_eq!(budget.held(), 0);
}

#[test]
fn buffer_refused_keeps_its_bytes() {
    let budget = ByteBudget::new(1_000);
    let mut buffer = LeasedBuffer::new(budget.lease());
    buffer.push(&[1; 600]).expect("free bytes");
    assert_eq!(buffer.push(&[2; 600]), Err(whole_exhausted()));
    assert_eq!(buffer.as_ref(), [1; 600]);
    buffer.push(&[3; 400]).expect("exactly what is left");
    buffer.discard();
    assert_eq!((buffer.len(), budget.held()), (0, 0));
}

#[test]
fn concurrent_leases_never_exceed_the_limit() {
    let budget = ByteBudget::new(8 * MIB);
    let parts = [budget.part(2), budget.part(3), budget.part(1)];
    std::thread::scope(|scope| {
        for seed in 0..6_u64 {
            let (budget, part) = (&budget, &parts[seed as usize % parts.len()]);
            scope.spawn(move || {
                let mut random = StdRng::seed_from_u64(seed);
                let mut leases: Vec<_> = (0..8).map(|_| part.lease()).collect();
                for _ in 0..5_000 {
                    let index = random.random_range(0..leases.len());
                    match random.random_ratio(1, 8) {
                        true => leases[index] = part.lease(),
                        false => drop(leases[index].resize(random.random_range(0..2 * MIB))),
                    }
                    assert!(part.held() <= part.limit());
                    assert!(budget.held() <= budget.limit());
                }
            });
        }
    });
    assert_eq!(budget.held(), 0);
    assert!(parts.iter().all(|part| part.held() == 0));
}
