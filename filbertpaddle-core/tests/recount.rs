//! An owner finds slots that lost messages have left counted.

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

/// An owner that has long stood, with one member that holds nothing.
struct Bench {
    owner: Owner,
    now: Millis,
}

impl Bench {
    fn new() -> Self {
        let roster = Roster {
            version: 1,
            sharers: vec![member()],
            ..Roster::default()
        };
        let mut owner = Owner::new(Timing::default(), 1, Millis::ZERO, roster);
        owner.add_target(&TARGET);
        let mut bench = Self {
            owner,
            now: Millis::from_secs(60),
        };
        bench.keep_standing();
        for collect in bench.owner.due_collects() {
            bench.owner.on_collect_reply(&holding(&collect, Vec::new()));
        }
        bench
            .owner
            .on_report(bench.now, &TARGET, &report(bench.now, Vec::new()));
        bench
    }

    fn keep_standing(&mut self) {
        let promise = Promise {
            session: 1,
            made_ms: self.now,
        };
        self.owner.on_promise(&member(), promise);
        self.owner.on_confirm(self.now);
    }

    fn ask(&mut self, number: u64) -> Vec<Grant> {
        self.owner.on_request(SlotRequest {
            holder: member(),
            number,
            stamp: number,
            session: 1,
        });
        self.owner.grant_all(self.now)
    }

    fn pass(&mut self, span: Millis, works: Vec<filbertpaddle_core::slot::WorkKey>) -> Vec<Grant> {
        self.now = self.now + span;
        self.keep_standing();
        self.owner
            .on_report(self.now, &TARGET, &report(self.now, works));
        self.owner.grant_all(self.now)
    }

    fn recount(&mut self, works: &[HeldWork]) {
        for collect in self.owner.recount_requests() {
            self.owner
                .on_recount_reply(self.now, &holding(&collect, works.to_vec()));
        }
    }
}

fn holding(collect: &CollectRequest, works: Vec<HeldWork>) -> CollectReply {
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
    let mut bench = Bench::new();
    assert_eq!(bench.ask(1).len(), 1);
    assert_eq!(bench.ask(2), [], "the limit is used");
    // The work ended and the release was lost.
    for _ in 0..5 {
        assert_eq!(bench.pass(Millis::from_secs(10), Vec::new()), []);
    }
    bench.recount(&[]);
    let granted = bench.pass(Timing::default().settle_ms, Vec::new());
    assert_eq!(granted.len(), 1, "the slot is free again");
}

#[test]
fn work_that_a_report_still_shows_stays_counted() {
    let mut bench = Bench::new();
    let key = bench.ask(1).remove(0).key;
    bench.ask(2);
    bench.recount(&[]);
    for _ in 0..5 {
        let granted = bench.pass(Millis::from_secs(10), vec![key.clone()]);
        assert_eq!(granted, [], "the target still runs it");
    }
}

#[test]
fn work_that_its_holder_still_holds_stays_counted() {
    let mut bench = Bench::new();
    let grant = bench.ask(1).remove(0);
    bench.ask(2);
    let held = HeldWork {
        key: grant.key,
        target: TARGET,
    };
    for _ in 0..5 {
        bench.recount(std::slice::from_ref(&held));
        let granted = bench.pass(Millis::from_secs(10), Vec::new());
        assert_eq!(granted, [], "it may not have reached the target yet");
    }
}
