//! The pages name tests that exist.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Pages whose code spans name tests.
const PAGES: [&str; 2] = ["docs/PROOFS.md", "docs/design/users-platform.md"];
/// Code spans that look like names but are kinds of tests, libraries, or settings of the
/// users' platform.
const FOREIGN: [&str; 9] = [
    "allowed_regions",
    "core",
    "heartbeat_ms",
    "hyper",
    "in_tolerance",
    "max_attempts",
    "model",
    "reqwest",
    "warp",
];

fn workspace() -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.parent().unwrap().to_owned()
}

/// Adds the names of all functions and source files below a folder, and of its folders.
fn add_names(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            if stem != "target" && !stem.starts_with('.') {
                names.insert(stem);
                add_names(&path, names);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            names.insert(stem);
            names.extend(functions(&fs::read_to_string(&path).unwrap()));
        }
    }
}

fn functions(source: &str) -> impl Iterator<Item = String> {
    source.split("fn ").skip(1).map(|rest| {
        let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
        rest.chars().take_while(|c| is_name(*c)).collect()
    })
}

/// Returns the code spans that are a name, or a part of one next to `…`.
fn code_names(page: &str) -> impl Iterator<Item = &str> {
    let is_name = |span: &&str| {
        let mut chars = span.trim_matches('…').chars();
        chars.next().is_some_and(|c| c.is_ascii_lowercase())
            && chars.all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
    };
    page.split('`').skip(1).step_by(2).filter(is_name)
}

fn exists(names: &BTreeSet<String>, span: &str) -> bool {
    let part = span.trim_matches('…');
    let is_match = |name: &String| match (span.starts_with('…'), span.ends_with('…')) {
        (true, true) => name.contains(part),
        (true, false) => name.ends_with(part),
        (false, true) => name.starts_with(part),
        (false, false) => name == part,
    };
    names.iter().any(is_match)
}

#[test]
fn names_in_the_pages_exist() {
    let mut names = BTreeSet::from(FOREIGN.map(str::to_owned));
    add_names(&workspace(), &mut names);
    let mut unknown = Vec::new();
    for page in PAGES {
        let text = fs::read_to_string(workspace().join(page)).unwrap();
        let missing = code_names(&text).filter(|span| !exists(&names, span));
        unknown.extend(missing.map(|span| format!("{page}: {span}")));
    }
    assert!(unknown.is_empty(), "{unknown:#?}");
}
