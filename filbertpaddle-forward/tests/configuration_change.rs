//! Changes between configurations, against the configurations themselves.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Customer;
use filbertpaddle_forward::configuration::RequestKind;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::configuration_change::ConfigurationChange;
use filbertpaddle_forward::configuration_change::Mismatch;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Routes of a large configuration.
const ROUTES: usize = 1_400;
/// Most bytes of a change of one route: 1 % of what all routes take.
const MAX_CHANGE_BYTES: usize = 3_000;

fn route(number: usize) -> Route {
    let name: Name = format!("route-{number}").into();
    Route {
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        kind: RequestKind::Idempotent,
        services: vec![("app".into(), 1)],
        timeout_ms: Millis(1_500),
        latency_goal_ms: Millis(100),
        gap_goal_ms: None,
        priority: 0,
        max_attempts: 2,
        is_public: false,
        name,
    }
}

fn configuration(version: u64, routes: usize) -> Configuration {
    Configuration {
        version,
        routes: (0..routes).map(route).collect(),
        ..Configuration::default()
    }
}

fn customer(name: &str) -> Customer {
    Customer {
        name: name.into(),
        priority: None,
    }
}

/// Changes a configuration in a few places.
fn edit(rng: &mut StdRng, configuration: &mut Configuration) {
    configuration.version += rng.random_range(1..4);
    let routes = &mut configuration.routes;
    for _ in 0..rng.random_range(0..4) {
        match rng.random_range(0..5) {
            0 => routes.push(route(rng.random_range(0..100))),
            1 if !routes.is_empty() => drop(routes.remove(rng.random_range(0..routes.len()))),
            2 if !routes.is_empty() => {
                let at = rng.random_range(0..routes.len());
                routes[at].timeout_ms = Millis(rng.random_range(1..9_000));
            }
            3 => routes.shuffle(rng),
            _ => routes.insert(0, route(rng.random_range(0..100))),
        }
    }
    let customers = configuration.customers.get_or_insert_default();
    match rng.random_range(0..4) {
        0 => drop(customers.shift_remove_index(0)),
        1 => configuration.customers = None,
        _ => {
            let key = format!("key-{}", rng.random_range(0..9));
            customers.insert(key.into(), customer("huka"));
        }
    }
}

#[test]
fn a_change_leads_to_the_same_configuration() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut known = configuration(1, 12);
        for _ in 0..12 {
            let mut new = known.clone();
            edit(&mut rng, &mut new);
            let change = ConfigurationChange::between(&known, &new);
            let applied = change.apply(&known).unwrap();
            assert_eq!(*applied, new, "seed {seed}");
            known = new;
        }
    }
}

#[test]
fn a_change_does_not_fit_another_configuration() {
    let known = configuration(1, 5);
    let change = ConfigurationChange::between(&known, &configuration(4, 6));
    let later = configuration(3, 5);
    let mismatch = Mismatch {
        base: known.id(),
        known: later.id(),
    };
    assert_eq!(change.apply(&later), Err(mismatch));
    // One of the same version that lacks routes which the change keeps.
    assert!(change.apply(&configuration(1, 2)).is_err());
}

#[test]
fn a_change_of_one_route_among_many_is_small() {
    let known = configuration(1, ROUTES);
    let mut new = configuration(2, ROUTES);
    new.routes[700].timeout_ms = Millis(9_000);
    new.routes.remove(200);
    new.routes.push(route(ROUTES));
    let change = ConfigurationChange::between(&known, &new);
    let mut bytes = Vec::new();
    ciborium::into_writer(&change, &mut bytes).unwrap();
    assert!(bytes.len() <= MAX_CHANGE_BYTES, "{} bytes", bytes.len());
    assert_eq!(*change.apply(&known).unwrap(), new);
}
