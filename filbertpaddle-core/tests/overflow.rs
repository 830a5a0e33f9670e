//! Overflow routing to other data centres: hysteresis, division of offers, ramp-up.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::overflow::Offer;
use filbertpaddle_core::overflow::Overflow;

const MAX_WAIT_MS: Millis = Millis::from_secs(10);

fn offer(sent_ms: Millis, spare_attempts: u32, unmet_attempts: u32) -> Offer {
    Offer {
        sent_ms,
        in_service: true,
        spare_attempts,
        unmet_attempts,
    }
}

fn drain_credit(overflow: &mut Overflow, now: Millis) -> usize {
    std::iter::from_fn(|| overflow.choose(now)).count()
}

#[test]
fn overflow_starts_at_once_when_the_local_data_centre_is_out() {
    let mut overflow = Overflow::new();
    overflow.on_wait_estimate(Millis(5), None, MAX_WAIT_MS);
    assert!(overflow.is_active());
}

#[test]
fn an_oscillating_wait_does_not_start_overflow() {
    let mut overflow = Overflow::new();
    for step in 0..100 {
        let wait_ms = if step % 2 == 0 { 9_000 } else { 100 };
        overflow.on_wait_estimate(Millis(step * 500), Some(Millis(wait_ms)), MAX_WAIT_MS);
        assert!(!overflow.is_active(), "step {step}");
    }
}

#[test]
fn overflow_ends_only_well_below_the_wait_that_started_it() {
    let mut overflow = Overflow::new();
    overflow.on_wait_estimate(Millis(0), Some(Millis(6_000)), MAX_WAIT_MS);
    overflow.on_wait_estimate(Millis(2_000), Some(Millis(6_000)), MAX_WAIT_MS);
    assert!(overflow.is_active());
    overflow.on_wait_estimate(Millis(4_000), Some(Millis(4_000)), MAX_WAIT_MS);
    overflow.on_wait_estimate(Millis(9_000), Some(Millis(4_000)), MAX_WAIT_MS);
    assert!(overflow.is_active());
    overflow.on_wait_estimate(Millis(10_000), Some(Millis(1_000)), MAX_WAIT_MS);
    overflow.on_wait_estimate(Millis(12_000), Some(Millis(1_000)), MAX_WAIT_MS);
    assert!(!overflow.is_active());
}

#[test]
fn data_centres_together_use_no_more_than_is_offered() {
    let now = Millis(60_000);
    let demands = [30, 50, 10, 200];
    let total: usize = demands
        .iter()
        .enumerate()
        .map(|(own, own_unmet)| {
            let mut overflow = Overflow::new();
            for (other, unmet) in demands
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != own)
            {
                let name = Name::new(format!("dc-{other}"));
                overflow.on_offer(Millis(100), &name, offer(Millis(100), 0, *unmet), 1);
                overflow.on_offer(now, &name, offer(now, 0, *unmet), *own_unmet);
            }
            let name = Name::new("away");
            overflow.on_offer(Millis(100), &name, offer(Millis(100), 0, 0), *own_unmet);
            overflow.on_offer(now, &name, offer(now, 100, 0), *own_unmet);
            drain_credit(&mut overflow, now)
        })
        .sum();
    assert!(total <= 100, "took {total}");
    assert!(total >= 70, "took only {total}");
}

#[test]
fn a_returning_data_centre_ramps_up() {
    let mut overflow = Overflow::new();
    let name = Name::new("back");
    let out = Offer {
        in_service: false,
        ..offer(Millis(0), 100, 0)
    };
    overflow.on_offer(Millis(0), &name, out, 100);
    assert_eq!(drain_credit(&mut overflow, Millis(0)), 0);
    let mut last = 0;
    for step in 1..=25 {
        let now = Millis(step * 1_000);
        overflow.on_offer(now, &name, offer(now, 100, 0), 100);
        let count = drain_credit(&mut overflow, now);
        assert!(count >= last, "step {step}");
        assert!(step > 2 || count <= 10, "step {step} took {count}");
        last = count;
    }
    assert_eq!(last, 80);
}

#[test]
fn expired_and_refused_offers_are_not_used() {
    let mut overflow = Overflow::new();
    let name = Name::new("away");
    overflow.on_offer(Millis(100), &name, offer(Millis(100), 100, 0), 10);
    assert_eq!(drain_credit(&mut overflow.clone(), Millis(10_000)), 0);
    assert!(overflow.choose(Millis(200)).is_some());
    overflow.on_refusal(&name);
    assert_eq!(overflow.choose(Millis(200)), None);
}
