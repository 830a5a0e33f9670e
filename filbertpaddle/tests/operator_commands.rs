//! Output and exit codes of the operators' commands, and errors on invalid input.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::operator::Operator;
use expect_test::Expect;
use expect_test::expect;
use filbertpaddle::operator_api::Answer;
use filbertpaddle_standins::platform_faults::Faults;
use filbertpaddle_standins::platform_faults::Outage;

/// Exit code and output of a command that has ended.
struct CommandResult {
    code: Option<i32>,
    output: String,
    errors: String,
}

async fn start() -> (Platform, Node) {
    let platform = Platform::start();
    platform
        .seed(&[("summary", fleet::template("teacher"))])
        .await;
    let node = Node::start(&NodeSettings {
        name: "north-1".to_owned(),
        data_centre: "north".to_owned(),
        platform: platform.standin.address,
        peers: Vec::new(),
        extra_yaml: String::new(),
    });
    node.ready().await;
    (platform, node)
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertpaddle"));
    command.args(args);
    command.env_remove("FILBERTPADDLE_NODE");
    command.env_remove("FILBERTPADDLE_TOKEN");
    command
}

async fn run(mut command: Command) -> CommandResult {
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    CommandResult {
        code: output.status.code(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs a command at a node with the token of the tests' operator.
async fn run_at(node: &Node, args: &[&str]) -> CommandResult {
    let mut command = command(args);
    command.env("FILBERTPADDLE_NODE", node.addresses.operators.to_string());
    command.env("FILBERTPADDLE_TOKEN", fleet::OPERATOR_TOKEN);
    run(command).await
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[tokio::test]
async fn a_template_is_listed_set_and_shown() {
    let (_platform, node) = start().await;
    let listed = run_at(&node, &["template", "list"]).await;
    expect![[r#"
        template/school-1/summary at revision 2 by installer
    "#]]
    .assert_eq(&listed.output);
    let path = write_file(
        "template.yaml",
        "{model: teacher, prompt: Draft a summary.}",
    );
    let path = path.to_str().unwrap();
    let set = run_at(&node, &["template", "set", "school-1", "summary", path]).await;
    assert_eq!(set.code, Some(0), "{}", set.errors);
    expect![[r#"
        accepted at revision 3
    "#]]
    .assert_eq(&set.output);
    let shown = run_at(&node, &["--json", "template", "get", "school-1", "summary"]).await;
    let shown: serde_json::Value = serde_json::from_str(&shown.output).unwrap();
    assert_eq!(shown["revision"], 3);
    assert_eq!(shown["setting"]["template"]["prompt"], "Draft a summary.");
    let again = run_at(&node, &["template", "set", "school-1", "summary", path]).await;
    assert_eq!(again.code, Some(0));
    expect![[r#"
        unchanged: the entry has had this value since revision 3
    "#]]
    .assert_eq(&again.output);
}

#[tokio::test]
async fn a_conflict_shows_the_current_entry() {
    let (_platform, node) = start().await;
    let path = write_file("conflict.yaml", "{model: teacher, prompt: Another.}");
    let path = path.to_str().unwrap();
    let set = ["template", "set", "school-1", "summary", path];
    let args: Vec<_> = set.into_iter().chain(["--expect", "1"]).collect();
    let ended = run_at(&node, &args).await;
    assert_eq!(ended.code, Some(3));
    expect![[r#"
        conflict: nothing was changed; the current entry is:
        template/school-1/summary at revision 2 by installer at 0 ms
        {"kind":"template","customer":"school-1","name":"summary","template":{"model":"teacher","version":"","adapter":null,"work":"generation","delivery":"stream","priority":0,"idempotent":true,"prompt":"","parameters":["text"],"max_tokens":32768,"max_wait_ms":30000,"weight":1}}
    "#]]
    .assert_eq(&ended.output);
    let args: Vec<_> = set.into_iter().chain(["--expect", "new"]).collect();
    assert_eq!(run_at(&node, &args).await.code, Some(3));
}

#[tokio::test]
async fn a_data_centre_is_taken_out_and_brought_in() {
    let (_platform, node) = start().await;
    for (args, output) in [
        (["data-centre", "out", "north"], "accepted at revision 3\n"),
        (["vm", "out", "engine-1"], "accepted at revision 4\n"),
        (["data-centre", "in", "north"], "accepted at revision 5\n"),
    ] {
        let ended = run_at(&node, &args).await;
        assert_eq!(ended.output, output, "{}", ended.errors);
    }
    let audit = run_at(&node, &["audit", "--after", "2", "--json"]).await;
    let audit: serde_json::Value = serde_json::from_str(&audit.output).unwrap();
    let records = audit["records"].as_array().unwrap();
    assert_eq!(records.len(), 3);
    assert_eq!(records[0]["change"]["by"], fleet::OPERATOR);
    assert_eq!(records[2]["before"]["service"], "out");
}

#[tokio::test]
async fn status_names_the_revision_of_each_node() {
    let (_platform, node) = start().await;
    let status = run_at(&node, &["status"]).await;
    assert_eq!(status.code, Some(0));
    for part in ["north-1: revision 2", "north: answers", "up to date"] {
        assert!(status.output.contains(part), "{}", status.output);
    }
}

#[tokio::test]
async fn an_outage_and_a_wrong_token_have_distinct_exit_codes() {
    let (platform, node) = start().await;
    let outage = Faults {
        outage: Outage::Refuse,
        ..Faults::default()
    };
    platform.standin.control("faults", &outage).await;
    let out = run_at(&node, &["data-centre", "out", "north"]).await;
    assert_eq!(out.code, Some(1));
    expect![[r#"
        the platform's table cannot be reached; nothing was changed
    "#]]
    .assert_eq(&out.output);
    let audit = run_at(&node, &["audit"]).await;
    assert_eq!(audit.code, Some(1));
    expect![[r#"
        filbertpaddle: the platform's table cannot be reached; try again later
    "#]]
    .assert_eq(&audit.errors);
    let address = node.addresses.operators.to_string();
    let mut wrong = command(&["status", "--node", &address]);
    wrong.env("FILBERTPADDLE_TOKEN", "guessed");
    let wrong = run(wrong).await;
    assert_eq!(wrong.code, Some(5));
    expect![[r#"
        filbertpaddle: the operator's token is missing or wrong
    "#]]
    .assert_eq(&wrong.errors);
}

async fn assert_usage_error(args: &[&str], expected: &Expect) {
    let ended = run(command(args)).await;
    assert_eq!(ended.code, Some(2));
    let first = ended.errors.lines().next().unwrap_or_default();
    expected.assert_eq(first);
}

#[tokio::test]
async fn wrong_usage_is_explained() {
    assert_usage_error(&[], &expect!["filbertpaddle: a command is missing"]).await;
    assert_usage_error(&["fly"], &expect!["filbertpaddle: unknown command fly"]).await;
    assert_usage_error(
        &["template", "get", "school-1"],
        &expect!["filbertpaddle: wrong arguments for template"],
    )
    .await;
    assert_usage_error(
        &["vm", "off", "engine-1"],
        &expect!["filbertpaddle: expected `out` or `in`, not `off`"],
    )
    .await;
    assert_usage_error(
        &["vm", "out", "engine-1", "--expect", "newest"],
        &expect![[
            r#"filbertpaddle: cannot parse argument "newest": expected a revision or `new`"#
        ]],
    )
    .await;
    assert_usage_error(
        &["status"],
        &expect!["filbertpaddle: give --node IP:PORT or set FILBERTPADDLE_NODE"],
    )
    .await;
    assert_usage_error(
        &["status", "--node", "127.0.0.1:1"],
        &expect!["filbertpaddle: give --token-file FILE or set FILBERTPADDLE_TOKEN"],
    )
    .await;
}

async fn assert_invalid(operator: &Operator, path: &str, body: &str, expected: &Expect) {
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    let response = operator.put(path, &body).await;
    assert_eq!(response.status(), 400);
    let Answer::Invalid { detail } = response.json().await.unwrap() else {
        panic!("expected the answer `invalid`");
    };
    expected.assert_eq(&detail);
}

#[tokio::test]
async fn invalid_input_is_explained() {
    let (_platform, node) = start().await;
    let operator = Operator::at(&node);
    let template = "templates/school-1/summary";
    assert_invalid(
        &operator,
        template,
        r#"{"expected": 2, "value": {"model": ""}}"#,
        &expect!["`` is not a name of 1 to 64 letters, digits, `.`, `_` or `-`"],
    )
    .await;
    assert_invalid(
        &operator,
        template,
        r#"{"expected": 2, "value": {"model": "teacher", "max_tokens": 0}}"#,
        &expect!["`max_tokens` must be at least 1"],
    )
    .await;
    assert_invalid(
        &operator,
        template,
        r#"{"expected": 2, "value": {"model": "teacher", "colour": "red"}}"#,
        &expect!["unknown field `colour`, expected one of `model`, `version`, `adapter`, `work`, `delivery`, `priority`, `idempotent`, `prompt`, `parameters`, `max_tokens`, `max_wait_ms`, `weight` at line 1 column 49"],
    )
    .await;
    assert_invalid(
        &operator,
        "vms/engine-1",
        r#"{"value": "gone"}"#,
        &expect!["unknown variant `gone`, expected `in` or `out` at line 1 column 15"],
    )
    .await;
    assert_invalid(
        &operator,
        "customers/school-1",
        r#"{"expected": 1, "value": {"key_sha256": ["secret"]}}"#,
        &expect!["a key digest must be 64 lower-case hexadecimal digits"],
    )
    .await;
    assert_invalid(
        &operator,
        "weather/today",
        "{}",
        &expect!["there is no entry weather/today"],
    )
    .await;
}
