//! Load by priority level in the messages of nodes, some of which state none.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use filbertpaddle_forward::level_load::LevelLoad;
use filbertpaddle_forward::load_table::TargetLoad;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Load as nodes without levels state it.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct PlainLoad {
    running: u32,
    tokens: u64,
    prompt_tokens: u64,
    refusals: u32,
}

fn convert<S, D>(message: &S) -> D
where
    S: Serialize,
    D: DeserializeOwned,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    ciborium::from_reader(bytes.as_slice()).unwrap()
}

/// Nodes with and without levels exchange load.
#[test]
fn nodes_without_levels_exchange_load_with_others() {
    let plain = PlainLoad {
        running: 2,
        prompt_tokens: 300,
        ..PlainLoad::default()
    };
    let load: TargetLoad = convert(&plain);
    assert_eq!((load.running, load.prompt_tokens), (2, 300));
    assert!(load.levels.is_empty());
    // Load of no level is ahead of every request.
    assert_eq!(load.prompt_tokens_ahead_of(Some(0)), 300);
    let level = LevelLoad {
        level: 2,
        requests: 1,
        prompt_tokens: 200,
        ..LevelLoad::default()
    };
    let by_level = TargetLoad {
        levels: level.into(),
        ..load
    };
    assert_eq!(convert::<_, TargetLoad>(&by_level), by_level);
    assert_eq!(convert::<_, PlainLoad>(&by_level), plain);
    assert_eq!(by_level.prompt_tokens_ahead_of(Some(0)), 100);
}

/// A message without levels costs what it did before there were any.
#[test]
fn load_without_levels_is_encoded_as_before() {
    let mut plain = Vec::new();
    ciborium::into_writer(&PlainLoad::default(), &mut plain).unwrap();
    let mut load = Vec::new();
    ciborium::into_writer(&TargetLoad::default(), &mut load).unwrap();
    assert_eq!(load, plain);
}
