use super::*;

#[test]
fn an_invalid_watch_query_is_rejected_with_the_parameter_name() {
    let read = |text: &str| WatchQuery::read(text).map_err(|error| (error.status, error.message));
    assert_eq!(read(""), Ok(WatchQuery::default()));
    let hold = Duration::from_millis(5000);
    assert_eq!(
        read("from=41&hold_ms=5000"),
        Ok(WatchQuery { from: Some(41), hold, ..WatchQuery::default() })
    );
    assert_eq!(read("current=true").map(|watch| watch.current), Ok(true));
    assert_eq!(read("hold_ms=99999999&seen=1").map(|watch| watch.hold), Ok(MAX_HOLD));
    for query in [
        "current=yes",
        "from=-1",
        "from=x",
        "from",
        "from=",
        "hold_ms=1.5",
        "form=1",
        "from=99999999999999999999",
    ] {
        let (status, message) = read(query).expect_err(query);
        assert_eq!(status, 400, "{message}");
        let name = query.split('=').next().unwrap_or_default();
        assert!(message.starts_with(name), "{message}");
    }
}
