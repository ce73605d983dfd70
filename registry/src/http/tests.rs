use super::*;

#[test]
fn a_watch_is_read_whole_or_refused_with_its_reason() {
    let read = |query: &str| Watch::read(query).map_err(|trouble| (trouble.status, trouble.text));
    assert_eq!(read(""), Ok(Watch::default()));
    let hold = Duration::from_millis(5000);
    assert_eq!(read("from=41&hold_ms=5000"), Ok(Watch { from: Some(41), seen: None, hold }));
    assert_eq!(read("hold_ms=99999999&seen=1").map(|watch| watch.hold), Ok(MOST_HOLD));
    for rubbish in
        ["from=-1", "from=x", "from", "from=", "hold_ms=1.5", "form=1", "from=99999999999999999999"]
    {
        let (status, text) = read(rubbish).expect_err(rubbish);
        assert_eq!(status, 400, "{text}");
        let name = rubbish.split('=').next().unwrap_or_default();
        assert!(text.starts_with(name), "{text}");
    }
}
