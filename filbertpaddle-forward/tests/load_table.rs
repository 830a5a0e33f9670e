//! Work that nodes tell each other.

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::LoadTable;
use filbertpaddle_forward::load_table::TargetLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn work(rng: &mut StdRng) -> LoadByTarget {
    (0..rng.random_range(0..6))
        .map(|_| {
            let target = Name::from(format!("t{}", rng.random_range(0..8)));
            let work = TargetLoad {
                running: rng.random_range(1..5),
                tokens: rng.random_range(0..9_000),
                prompt_tokens: rng.random_range(0..3_000),
                refusals: rng.random_range(0..2),
            };
            (target, work)
        })
        .collect()
}

/// Two readers that tell each other only what changes know the same sum as one
/// that sees everything.
#[test]
fn sums_over_groups_are_those_of_all_nodes() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut boards = [LoadTable::new(), LoadTable::new()];
        let names = ["r0", "r1"].map(Name::from);
        let mut told_groups = [LoadByTarget::new(), LoadByTarget::new()];
        let mut nodes: Vec<LoadByTarget> = vec![LoadByTarget::new(); 5];
        for _ in 0..20 {
            let node = rng.random_range(0..nodes.len());
            let now = work(&mut rng);
            let changes = load_table::changes_since(&nodes[node], &now);
            let name = Name::from(format!("n{node}"));
            boards[node % 2].update_member(&name, &changes);
            nodes[node] = now;
            for reader in 0..2 {
                let sum = boards[reader].group_total();
                let changes = load_table::changes_since(&told_groups[reader], &sum);
                boards[1 - reader].update_group(&names[reader], &changes);
                told_groups[reader] = sum;
            }
            let mut all = LoadByTarget::new();
            for (target, work) in nodes.iter().flatten() {
                all.entry(target.clone()).or_default().add(work);
            }
            assert_eq!(boards[0].total(), all, "seed {seed}");
            assert_eq!(boards[1].total(), all, "seed {seed}");
        }
    }
}

#[test]
fn the_work_of_a_node_that_is_gone_is_gone() {
    let mut board = LoadTable::new();
    let changes = vec![(
        "t".into(),
        TargetLoad {
            running: 1,
            ..TargetLoad::default()
        },
    )];
    board.update_member(&"n".into(), &changes);
    board.update_group(&"r".into(), &changes);
    assert_eq!(board.total()["t"].running, 2);
    board.remove_member("n");
    board.remove_group("r");
    assert!(board.total().is_empty());
}
