//! Size and retention limits of a configuration replica.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::MAX_PROMPT_BYTES;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::replica::MAX_ENTRIES_BYTES;
use filbertpaddle_core::replica::MAX_OUT_OF_ORDER_CHANGES;
use filbertpaddle_core::replica::MAX_RECENT_CHANGES;
use filbertpaddle_core::replica::Replica;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::Template;

fn template(name: u64, prompt_bytes: usize) -> Setting {
    Setting::Template {
        customer: "school-1".into(),
        name: format!("template-{name}").into(),
        template: Box::new(Template {
            model: "drafting".into(),
            version: "1".into(),
            adapter: None,
            work: Default::default(),
            delivery: Default::default(),
            priority: Default::default(),
            idempotent: true,
            prompt: "x".repeat(prompt_bytes),
            parameters: Vec::new(),
            max_tokens: 1,
            max_wait_ms: Millis(1),
            weight: 1,
        }),
    }
}

fn change(revision: u64, setting: Setting) -> Change {
    Change {
        revision: Revision(revision),
        id: ChangeId(revision),
        by: "operator".into(),
        at_ms: Millis::ZERO,
        setting,
    }
}

#[test]
fn a_full_replica_has_no_room_for_growth_but_accepts_smaller_entries() {
    let mut replica = Replica::default();
    let mut count = 0;
    while replica.has_room(&template(count, MAX_PROMPT_BYTES)) {
        replica.apply(&change(count + 1, template(count, MAX_PROMPT_BYTES)));
        count += 1;
    }
    assert!(replica.size_bytes() <= MAX_ENTRIES_BYTES);
    assert!(replica.size_bytes() > MAX_ENTRIES_BYTES - 2 * MAX_PROMPT_BYTES);
    assert!(replica.has_room(&template(0, MAX_PROMPT_BYTES)));
    assert!(replica.has_room(&template(0, 1)));
}

#[test]
fn changes_after_a_gap_are_applied_and_their_backlog_is_bounded() {
    let mut replica = Replica::default();
    let last = MAX_OUT_OF_ORDER_CHANGES as u64 + 100;
    for revision in 2..=last {
        assert!(replica.apply(&change(revision, template(revision, 1))));
    }
    assert_eq!(replica.head(), Revision::ZERO);
    assert!(replica.get(&template(last, 1).key()).is_some());
    // Changes that exceeded the limit after the gap arrive again with the next response.
    for revision in 1..=last {
        replica.apply(&change(revision, template(revision, 1)));
    }
    assert_eq!(replica.head(), Revision(last));
}

#[test]
fn a_peer_behind_the_retained_changes_needs_a_page_transfer() {
    let mut replica = Replica::default();
    let last = MAX_RECENT_CHANGES as u64 + 10;
    (1..=last).for_each(|revision| {
        replica.apply(&change(revision, template(revision, 1)));
    });
    assert!(replica.changes_after(Revision(5)).is_none());
    let newest = replica.changes_after(Revision(last - 3));
    assert_eq!(newest.map(|changes| changes.len()), Some(3));
}
