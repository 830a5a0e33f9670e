//! Settings are validated, and errors contain the line and the reason.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use expect_test::Expect;
use expect_test::expect;
use filbertpaddle::settings;

const EXAMPLE: &str = include_str!("../../docs/settings.example.yaml");

fn assert_refused(text: &str, expected: &Expect) {
    let error = settings::parse(text).unwrap_err();
    expected.assert_eq(&error.to_string());
}

#[test]
fn the_example_is_valid() {
    let settings = settings::parse(EXAMPLE).unwrap();
    assert_eq!(settings.node.name, "entry-1");
    assert_eq!(settings.operators.len(), 1);
}

#[test]
fn an_unknown_key_is_refused() {
    let text = EXAMPLE.replace("peers: [", "pears: [");
    let expected = expect![
        "line 17: unknown field `pears`, expected one of node, listen, peers, platform, secrets, operators, targets, placement, retries, limits, claims, log, metrics"
    ];
    assert_refused(&text, &expected);
}

#[test]
fn an_impossible_value_is_refused() {
    let text = EXAMPLE.replace("timeout_ms: 2000", "timeout_ms: 0");
    assert_refused(&text, &expect!["line 22: a timeout is from 1 to 600000 ms"]);
}

#[test]
fn a_short_secret_is_refused_without_showing_it() {
    let text = EXAMPLE.replace("replace-this-peer-secret", "hunter2");
    let error = settings::parse(&text).unwrap_err().to_string();
    assert!(error.contains("at least 16 bytes"), "{error}");
    assert!(!format!("{:?}", settings::parse(EXAMPLE).unwrap()).contains("replace-this"));
}

#[test]
fn a_bad_digest_is_refused() {
    let text = EXAMPLE.replace("2bcbc95a", "2BCBC95A");
    assert_refused(
        &text,
        &expect!["line 33: a digest has 64 lower-case hexadecimal digits"],
    );
}

#[test]
fn a_missing_part_is_refused() {
    assert_refused(
        "node: {name: entry-1, data_centre: north-1}",
        &expect!["line 1: missing field `listen`"],
    );
}
