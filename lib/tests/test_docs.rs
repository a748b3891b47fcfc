//! Checks that the tests named in `docs/guarantees.md` exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Names in backticks that look like a test or a scenario.
fn referenced_tests(page: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_test = |name: &&str| {
        name.contains('_')
            && name
                .bytes()
                .all(|b| b.is_ascii_lowercase() || b == b'_' || b.is_ascii_digit())
    };
    quoted.filter(is_test).map(str::to_owned).collect()
}

/// Collects the names of functions and files under a folder.
fn collect_names(folder: &Path, found: &mut BTreeSet<String>) {
    let entries = fs::read_dir(folder).expect("folder of tests is readable");
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_names(&path, found);
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
fn tests_named_in_guarantees_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = fs::read_to_string(root.join("docs/guarantees.md"))
        .expect("docs/guarantees.md is readable");
    let mut found = BTreeSet::new();
    for folder in [
        "lib/tests",
        "daemon/tests",
        "cli/tests",
        "edges/tests",
        "platform/tests",
    ] {
        collect_names(&root.join(folder), &mut found);
    }

    let missing: Vec<_> = referenced_tests(&page)
        .into_iter()
        .filter(|name| !found.contains(name))
        .collect();

    assert!(
        referenced_tests(&page).len() > 20,
        "docs/guarantees.md names too few tests"
    );
    assert!(
        missing.is_empty(),
        "named in docs/guarantees.md but not found: {missing:?}"
    );
}
