use super::*;

fn read_fleet(text: &str) -> Result<Fleet, String> {
    let file = std::env::temp_dir().join(format!("fleet-{}-{:x}.toml", std::process::id(), text.len()));
    std::fs::write(&file, text).expect("fleet file is written");
    let read = Fleet::read(&file);
    std::fs::remove_file(&file).expect("fleet file is removed");
    let name = format!("{}:", file.display());
    read.map_err(|error| error.to_string().replace(&name, ""))
}

#[test]
fn errors_in_a_fleet_file_name_the_line_and_key() {
    let fleet = read_fleet("[registry]\naddresses = [\"127.0.0.1:7200\", \"127.0.0.1:7201\"]\n")
        .expect("fleet file is valid");
    assert_eq!(fleet.registry.expect("fleet file has a registry").addresses.len(), 2);
    assert_eq!(read_fleet(""), Ok(Fleet::default()));
    let invalid_files = [
        ("[registry]\naddresses = []\n", "2: registry.addresses: must have 1 to 9 addresses"),
        ("[registry]\n\naddresses = [\"a.b:1\", \"a.b:1\"]", "3: "),
        (
            "[registry]\naddresses = [\"127.0.0.1:1\",\"127.0.0.1:1\"]",
            "2: registry.addresses: duplicate address 127.0.0.1:1",
        ),
        ("[registry]\nadresses = []\n", "2: unknown field `adresses`"),
        ("[zones.a]\nshare = 1.0\n[zones.b]\nshare = 7.0\n", "4: zones.b.share: must be between 0 and 1"),
        ("\n[regisry]\n", "2: unknown field `regisry`"),
        ("[registry", "1: "),
    ];
    for (text, expected) in invalid_files {
        let error = read_fleet(text).expect_err(text);
        assert!(error.starts_with(expected), "{text}: {error}");
    }
}
