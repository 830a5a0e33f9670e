//! The `filbertpaddle` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    filbertpaddle::cli::run(std::env::args_os())
}
