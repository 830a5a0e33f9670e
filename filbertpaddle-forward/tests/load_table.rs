//! Load that nodes report to each other.

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::level_load::LevelLoad;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::LoadTable;
use filbertpaddle_forward::load_table::TargetLoad;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn random_load(rng: &mut StdRng) -> LoadByTarget {
    (0..rng.random_range(0..6))
        .map(|_| {
            let target = Name::from(format!("t{}", rng.random_range(0..8)));
            let level = LevelLoad {
                level: rng.random_range(0..3),
                requests: rng.random_range(0..3),
                tokens: rng.random_range(0..9_000),
                ..LevelLoad::default()
            };
            let load = TargetLoad {
                running: rng.random_range(1..5),
                tokens: rng.random_range(0..9_000),
                prompt_tokens: rng.random_range(0..3_000),
                refusals: rng.random_range(0..2),
                levels: level.into(),
            };
            (target, load)
        })
        .collect()
}

/// Two readers that exchange only changes of their groups' totals must have the same total
/// as one that sees the load of every node.
#[test]
fn totals_of_groups_add_up_to_the_load_of_all_nodes() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut tables = [LoadTable::new(), LoadTable::new()];
        let names = ["r0", "r1"].map(Name::from);
        let mut published = [LoadByTarget::new(), LoadByTarget::new()];
        let mut nodes: Vec<LoadByTarget> = vec![LoadByTarget::new(); 5];
        for _ in 0..20 {
            let node = rng.random_range(0..nodes.len());
            let now = random_load(&mut rng);
            let changes = load_table::changes_since(&nodes[node], &now);
            let name = Name::from(format!("n{node}"));
            tables[node % 2].update_member(&name, &changes);
            nodes[node] = now;
            for reader in 0..2 {
                let sum = tables[reader].group_total();
                let changes = load_table::changes_since(&published[reader], &sum);
                tables[1 - reader].update_group(&names[reader], &changes);
                published[reader] = sum;
            }
            let mut all = LoadByTarget::new();
            for (target, load) in nodes.iter().flatten() {
                all.entry(target.clone()).or_default().add(load);
            }
            assert_eq!(tables[0].total(), all, "seed {seed}");
            assert_eq!(tables[1].total(), all, "seed {seed}");
        }
    }
}

#[test]
fn load_of_an_unlinked_node_is_removed() {
    let mut table = LoadTable::new();
    let changes = vec![(
        "t".into(),
        TargetLoad {
            running: 1,
            ..TargetLoad::default()
        },
    )];
    table.update_member(&"n".into(), &changes);
    table.update_group(&"r".into(), &changes);
    assert_eq!(table.total()["t"].running, 2);
    table.remove_member("n");
    table.remove_group("r");
    assert!(table.total().is_empty());
}

/// The links to one of two other data centres, or to one of its two readers, are cut.
#[test]
fn a_data_centre_is_covered_only_if_all_its_readers_report() {
    let mut table = LoadTable::new();
    let readers: [Name; 3] = ["a1".into(), "b1".into(), "b2".into()];
    table.update_group(&readers[0], &Vec::new());
    table.update_group(&readers[1], &Vec::new());
    assert!(table.covers(&readers[..1]));
    assert!(!table.covers(&readers[1..]));
    assert!(!table.covers(&readers[..0]));
    table.update_group(&readers[2], &Vec::new());
    assert!(table.covers(&readers[1..]));
}
