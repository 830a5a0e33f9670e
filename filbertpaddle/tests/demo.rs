//! The demo from the README serves two complete answers.

use std::path::Path;
use std::time::Duration;

use tokio::process::Command;

/// Far more time than the demo needs.
const DEMO_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn demo_serves_complete_answers() {
    let program = Path::new(env!("CARGO_BIN_EXE_filbertpaddle")).with_file_name("examples/demo");
    let run = Command::new(program).kill_on_drop(true).output();
    let output = tokio::time::timeout(DEMO_TIMEOUT, run)
        .await
        .unwrap()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let whole = text.matches(r#"{"outcome":"complete","tokens":60}"#);
    assert_eq!(whole.count(), 2, "{text}");
}
