//! The module's size: a bound that its users set over all files under `policy` in the deploy file.

use std::path::Path;

use serde::Deserialize;

/// Non-blank lines, comments too, that the files under `policy` may hold together.
const MOST_LINES: usize = 1200;

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
fn the_module_stays_small() {
    let texts: Vec<String> = deploy().policy.iter().map(read).collect();
    let lines = texts.iter().flat_map(|text| text.lines()).filter(|line| !line.trim().is_empty()).count();
    assert!(lines > 0, "no file under policy holds a line");
    assert!(lines <= MOST_LINES, "{lines} non-blank lines");
    let widest = texts.iter().flat_map(|text| text.lines()).map(|line| line.chars().count()).max();
    assert!(widest <= Some(110), "a line of {widest:?} columns");
}

#[test]
fn the_deploy_file_names_the_module() {
    let deploy = deploy();
    assert!(deploy.policy.iter().any(|file| file == "src/choice.rs"), "{:?}", deploy.policy);
    assert!(deploy.sim.ends_with("target/release/brookfield-wirehost"), "{}", deploy.sim);
}
