//! Choice of another data centre.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::spill::Offer;
use filbertpaddle_core::spill::Spill;

const PATIENCE: Millis = Millis::from_secs(10);

fn offer(said_ms: Millis, spare_attempts: u32, wanting_attempts: u32) -> Offer {
    Offer {
        said_ms,
        in_service: true,
        spare_attempts,
        wanting_attempts,
    }
}

fn taken(spill: &mut Spill, now: Millis) -> usize {
    std::iter::from_fn(|| spill.choose(now)).count()
}

#[test]
fn work_leaves_at_once_when_home_is_out() {
    let mut spill = Spill::new();
    spill.waited(Millis(5), None, PATIENCE);
    assert!(spill.is_away());
}

#[test]
fn a_wait_that_swings_does_not_move_work() {
    let mut spill = Spill::new();
    for step in 0..100 {
        let wait_ms = if step % 2 == 0 { 9_000 } else { 100 };
        spill.waited(Millis(step * 500), Some(Millis(wait_ms)), PATIENCE);
        assert!(!spill.is_away(), "step {step}");
    }
}

#[test]
fn work_comes_home_only_well_below_the_mark_it_left_at() {
    let mut spill = Spill::new();
    spill.waited(Millis(0), Some(Millis(6_000)), PATIENCE);
    spill.waited(Millis(2_000), Some(Millis(6_000)), PATIENCE);
    assert!(spill.is_away());
    spill.waited(Millis(4_000), Some(Millis(4_000)), PATIENCE);
    spill.waited(Millis(9_000), Some(Millis(4_000)), PATIENCE);
    assert!(spill.is_away());
    spill.waited(Millis(10_000), Some(Millis(1_000)), PATIENCE);
    spill.waited(Millis(12_000), Some(Millis(1_000)), PATIENCE);
    assert!(!spill.is_away());
}

#[test]
fn homes_together_take_no_more_than_is_offered() {
    let now = Millis(60_000);
    let wants = [30, 50, 10, 200];
    let total: usize = wants
        .iter()
        .enumerate()
        .map(|(own, own_wanting)| {
            let mut spill = Spill::new();
            for (other, wanting) in wants.iter().enumerate().filter(|(other, _)| *other != own) {
                let name = Name::new(format!("home-{other}"));
                spill.offered(Millis(100), &name, offer(Millis(100), 0, *wanting), 1);
                spill.offered(now, &name, offer(now, 0, *wanting), *own_wanting);
            }
            let name = Name::new("away");
            spill.offered(Millis(100), &name, offer(Millis(100), 0, 0), *own_wanting);
            spill.offered(now, &name, offer(now, 100, 0), *own_wanting);
            taken(&mut spill, now)
        })
        .sum();
    assert!(total <= 100, "took {total}");
    assert!(total >= 70, "took only {total}");
}

#[test]
fn a_data_centre_that_comes_back_is_filled_slowly() {
    let mut spill = Spill::new();
    let name = Name::new("back");
    let out = Offer {
        in_service: false,
        ..offer(Millis(0), 100, 0)
    };
    spill.offered(Millis(0), &name, out, 100);
    assert_eq!(taken(&mut spill, Millis(0)), 0);
    let mut last = 0;
    for step in 1..=25 {
        let now = Millis(step * 1_000);
        spill.offered(now, &name, offer(now, 100, 0), 100);
        let count = taken(&mut spill, now);
        assert!(count >= last, "step {step}");
        assert!(step > 2 || count <= 10, "step {step} took {count}");
        last = count;
    }
    assert_eq!(last, 80);
}

#[test]
fn stale_and_refused_offers_are_not_used() {
    let mut spill = Spill::new();
    let name = Name::new("away");
    spill.offered(Millis(100), &name, offer(Millis(100), 100, 0), 10);
    assert_eq!(taken(&mut spill.clone(), Millis(10_000)), 0);
    assert!(spill.choose(Millis(200)).is_some());
    spill.refused(&name);
    assert_eq!(spill.choose(Millis(200)), None);
}
