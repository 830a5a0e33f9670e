//! Recount by a pool's owner of the work that members hold.
//!
//! Without it, a slot whose release message was lost would stay counted forever.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::owner::CollectReply;
use filbertpaddle_core::owner::CollectRequest;
use filbertpaddle_core::owner::Owner;
use filbertpaddle_core::owner::SlotRequest;
use filbertpaddle_core::peer::Promise;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;
use filbertpaddle_core::slot::Grant;
use filbertpaddle_core::slot::HeldWork;
use filbertpaddle_core::timing::Timing;

const TARGET: Name = Name::new_static("engine-1");
const LIMIT: u32 = 1;

fn member() -> NodeId {
    NodeId {
        name: "entry-1".into(),
        incarnation: 1,
    }
}

fn report(taken_ms: Millis, works: Vec<filbertpaddle_core::slot::WorkKey>) -> Report {
    Report {
        taken_ms,
        incarnation: 1,
        warm: false,
        cold_limit: LIMIT,
        warm_limit: LIMIT,
        running: u32::try_from(works.len()).unwrap_or(u32::MAX),
        waiting: 0,
        preemptions: 0,
        fence: None,
        works,
    }
}

/// An owner past its quarantine, with one member that holds no work.
struct Harness {
    owner: Owner,
    now: Millis,
}

impl Harness {
    fn new() -> Self {
        let roster = Roster {
            version: 1,
            sharers: vec![member()],
            ..Roster::default()
        };
        let mut owner = Owner::new(Timing::default(), 1, Millis::ZERO, roster);
        owner.add_target(&TARGET);
        let mut harness = Self {
            owner,
            now: Millis::from_secs(60),
        };
        harness.renew_confirmation();
        for collect in harness.owner.due_collects() {
            harness
                .owner
                .on_collect_reply(&collect_reply(&collect, Vec::new()));
        }
        harness
            .owner
            .on_report(harness.now, &TARGET, &report(harness.now, Vec::new()));
        harness
    }

    fn renew_confirmation(&mut self) {
        let promise = Promise {
            session: 1,
            made_ms: self.now,
        };
        self.owner.on_promise(&member(), promise);
        self.owner.on_confirm(self.now);
    }

    fn request(&mut self, number: u64) -> Vec<Grant> {
        self.owner.on_request(SlotRequest {
            holder: member(),
            number,
            stamp: number,
            session: 1,
        });
        self.owner.grant_all(self.now)
    }

    fn advance(
        &mut self,
        span: Millis,
        works: Vec<filbertpaddle_core::slot::WorkKey>,
    ) -> Vec<Grant> {
        self.now = self.now + span;
        self.renew_confirmation();
        self.owner
            .on_report(self.now, &TARGET, &report(self.now, works));
        self.owner.grant_all(self.now)
    }

    fn recount(&mut self, works: &[HeldWork]) {
        for collect in self.owner.recount_requests() {
            self.owner
                .on_recount_reply(self.now, &collect_reply(&collect, works.to_vec()));
        }
    }
}

fn collect_reply(collect: &CollectRequest, works: Vec<HeldWork>) -> CollectReply {
    CollectReply {
        holder: collect.holder.clone(),
        session: 1,
        epoch: collect.epoch,
        upto: collect.upto,
        works,
    }
}

#[test]
fn a_slot_whose_release_was_lost_is_freed() {
    let mut harness = Harness::new();
    assert_eq!(harness.request(1).len(), 1);
    assert_eq!(harness.request(2), [], "the limit is used");
    // The work ended and the release message was lost.
    for _ in 0..5 {
        assert_eq!(harness.advance(Millis::from_secs(10), Vec::new()), []);
    }
    harness.recount(&[]);
    let granted = harness.advance(Timing::default().settle_ms, Vec::new());
    assert_eq!(granted.len(), 1, "the slot is free again");
}

#[test]
fn work_that_a_report_still_shows_stays_counted() {
    let mut harness = Harness::new();
    let key = harness.request(1).remove(0).key;
    harness.request(2);
    harness.recount(&[]);
    for _ in 0..5 {
        let granted = harness.advance(Millis::from_secs(10), vec![key.clone()]);
        assert_eq!(granted, [], "the target still runs it");
    }
}

#[test]
fn work_that_its_holder_reports_stays_counted() {
    let mut harness = Harness::new();
    let grant = harness.request(1).remove(0);
    harness.request(2);
    let held = HeldWork {
        key: grant.key,
        target: TARGET,
    };
    for _ in 0..5 {
        harness.recount(std::slice::from_ref(&held));
        let granted = harness.advance(Millis::from_secs(10), Vec::new());
        assert_eq!(granted, [], "it may not have reached the target yet");
    }
}
