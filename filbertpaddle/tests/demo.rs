//! The demo that the README names serves two whole answers.

use std::path::Path;
use std::time::Duration;

use tokio::process::Command;

/// Far beyond what the demo needs.
const LIMIT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn the_demo_serves_whole_answers() {
    let program = Path::new(env!("CARGO_BIN_EXE_filbertpaddle")).with_file_name("examples/demo");
    let run = Command::new(program).kill_on_drop(true).output();
    let output = tokio::time::timeout(LIMIT, run).await.unwrap().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let whole = text.matches(r#"{"outcome":"complete","tokens":60}"#);
    assert_eq!(whole.count(), 2, "{text}");
}
