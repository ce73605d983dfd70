//! The deploy file lists every policy module, and their lines are not too long.

use std::path::Path;

use serde::Deserialize;

/// Files of the core that hold no policy: the interface, the state, and the list of modules.
const NO_POLICY: [&str; 3] = ["src/api.rs", "src/state.rs", "src/lib.rs"];

#[derive(Deserialize)]
struct Deploy {
    policy: Vec<String>,
    sim: String,
}

fn read(path: impl AsRef<Path>) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn deploy() -> Deploy {
    toml::from_str(&read("deploy/balancer.toml")).expect("the deploy file")
}

#[test]
fn policy_files_have_no_overlong_lines() {
    let texts: Vec<String> = deploy().policy.iter().map(read).collect();
    assert!(texts.iter().all(|text| !text.trim().is_empty()), "a file under policy is empty");
    let widest = texts.iter().flat_map(|text| text.lines()).map(|line| line.chars().count()).max();
    assert!(widest <= Some(110), "the longest line has {widest:?} columns");
}

#[test]
fn the_deploy_file_lists_every_policy_module() {
    let deploy = deploy();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files =
        std::fs::read_dir(folder).expect("the sources").map(|entry| entry.expect("a file").file_name());
    let names = files.map(|name| format!("src/{}", name.to_string_lossy()));
    let mut policy_files: Vec<String> = names.filter(|name| !NO_POLICY.contains(&name.as_str())).collect();
    policy_files.sort();
    assert_eq!(deploy.policy, policy_files);
    assert!(deploy.sim.ends_with("target/release/brookfield-wirehost"), "{}", deploy.sim);
}
