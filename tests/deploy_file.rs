//! Checks that `policy` in `deploy/balancer.toml` names all source files of the decisions, as the
//! operators' bench measures exactly the named files.
use std::fs;
use std::path::Path;

/// Directories in which every file contains decisions or their state.
const DECISION_DIRECTORIES: &[&str] = &["src/policy", "src/state"];

/// Files in these directories that contain only test fixtures.
const EXCEPT: &[&str] = &["src/policy/test_support.rs"];

#[test]
fn the_deploy_file_names_every_file_of_the_decisions() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy_file = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let policy = deploy_file
        .lines()
        .find(|line| line.starts_with("policy ="))
        .unwrap();
    for directory in DECISION_DIRECTORIES {
        for entry in fs::read_dir(root.join(directory)).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let path = format!("{directory}/{name}");
            if name.ends_with(".rs") && !EXCEPT.contains(&path.as_str()) {
                assert!(policy.contains(&format!("\"{path}\"")), "{path}");
            }
        }
    }
}
