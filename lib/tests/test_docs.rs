//! The pages name only tests that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Names in back quotes that look like a test or a scenario.
fn named(page: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_test = |name: &&str| {
        name.contains('_')
            && name
                .bytes()
                .all(|b| b.is_ascii_lowercase() || b == b'_' || b.is_ascii_digit())
    };
    quoted.filter(is_test).map(str::to_owned).collect()
}

fn collect(folder: &Path, found: &mut BTreeSet<String>) {
    let entries = fs::read_dir(folder).expect("the folder is there");
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect(&path, found);
            continue;
        }
        let stem = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        found.insert(stem);
        let text = fs::read_to_string(&path).unwrap_or_default();
        let functions = text
            .split("fn ")
            .skip(1)
            .filter_map(|rest| rest.split('(').next());
        found.extend(functions.map(str::to_owned));
    }
}

#[test]
fn every_test_that_guarantees_name_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = fs::read_to_string(root.join("docs/guarantees.md")).expect("the page is there");
    let mut found = BTreeSet::new();
    for folder in [
        "lib/tests",
        "daemon/tests",
        "cli/tests",
        "edges/tests",
        "platform/tests",
    ] {
        collect(&root.join(folder), &mut found);
    }

    let missing: Vec<_> = named(&page)
        .into_iter()
        .filter(|name| !found.contains(name))
        .collect();

    assert!(named(&page).len() > 20, "the page names its tests");
    assert!(missing.is_empty(), "named and not there: {missing:?}");
}
