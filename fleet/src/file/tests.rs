use super::*;

fn told(text: &str) -> Result<Fleet, String> {
    let file = std::env::temp_dir().join(format!("fleet-{}-{:x}.toml", std::process::id(), text.len()));
    std::fs::write(&file, text).expect("a file");
    let read = Fleet::read(&file);
    std::fs::remove_file(&file).expect("removed");
    let name = format!("{}:", file.display());
    read.map_err(|error| error.to_string().replace(&name, ""))
}

#[test]
fn a_fleet_file_is_read_and_its_problems_are_told_with_line_and_key() {
    let fleet = told("[registry]\naddresses = [\"127.0.0.1:7200\", \"127.0.0.1:7201\"]\n").expect("taken");
    assert_eq!(fleet.registry.expect("a registry").addresses.len(), 2);
    assert_eq!(told(""), Ok(Fleet::default()));
    let wrong = [
        ("[registry]\naddresses = []\n", "2: registry.addresses: 1 to 9"),
        ("[registry]\n\naddresses = [\"a.b:1\", \"a.b:1\"]", "3: "),
        (
            "[registry]\naddresses = [\"127.0.0.1:1\",\"127.0.0.1:1\"]",
            "2: registry.addresses: 127.0.0.1:1 stands",
        ),
        ("[registry]\nadresses = []\n", "2: unknown field `adresses`"),
        ("[zones.a]\nshare = 1.0\n[zones.b]\nshare = 7.0\n", "4: zones.b.share: a share from 0 to 1"),
        ("\n[regisry]\n", "2: unknown field `regisry`"),
        ("[registry", "1: "),
    ];
    for (text, problem) in wrong {
        let told = told(text).expect_err(text);
        assert!(told.starts_with(problem), "{text}: {told}");
    }
}
