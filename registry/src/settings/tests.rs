use super::*;

#[test]
fn an_invalid_setting_is_reported_by_its_key() {
    let invalid_key = |text: &str| {
        let settings: Settings = toml::from_str(text).expect(text);
        settings.check().map_err(|problem| problem.key)
    };
    assert_eq!(invalid_key(""), Ok(()));
    assert_eq!(
        invalid_key("replicas = [\"127.0.0.1:7300\", \"127.0.0.1:7301\", \"127.0.0.1:7302\"]"),
        Ok(())
    );
    for (text, key) in [
        ("fleet = \"\"", "fleet"),
        ("replicas = [\"127.0.0.1:7300\", \"127.0.0.1:7301\"]", "replicas"),
        ("replicas = [\"127.0.0.1:7301\"]", "replicas"),
        ("replicas = [\"127.0.0.1:7300\", \"127.0.0.1:7300\", \"127.0.0.1:7301\"]", "replicas"),
        ("listen = \"0.0.0.0:7200\"", "address"),
        ("peer_listen = \"0.0.0.0:7300\"", "peer_address"),
        ("lease_ms = 100", "lease_ms"),
        ("believed_share = nan", "believed_share"),
        ("hold_s = 0", "hold_s"),
        ("heartbeat_ms = 1", "heartbeat_ms"),
        ("heartbeat_ms = 400", "election_ms"),
        ("snapshot_every = 1", "snapshot_every"),
        ("most_store_mb = 1", "most_store_mb"),
        ("most_connections = 1", "most_connections"),
        ("most_watches = 20000", "most_watches"),
        ("ready_age_ms = 1", "ready_age_ms"),
    ] {
        assert_eq!(invalid_key(text), Err(key.to_owned()), "{text}");
    }
    assert!(toml::from_str::<Settings>("leese_ms = 1").is_err());
}
