use super::*;

fn sleeper() -> Child {
    Command::new("/bin/sleep").arg("60").spawn().expect("started")
}

#[test]
fn it_ends_what_it_was_told_of_and_has_not_been_told_back() {
    let folder = std::env::temp_dir().join(format!("flaxdale-keeper-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("made");
    let (mut left, mut paused, mut ended, mut other) = (sleeper(), sleeper(), sleeper(), sleeper());
    assert!(signal(paused.id(), Signal::STOP));
    let told = format!(
        "+{}\n+{}\n+{}\nrubbish\n\n-{}\nd{}\n",
        left.id(),
        paused.id(),
        ended.id(),
        ended.id(),
        folder.display()
    );
    run(told.as_bytes());
    for gone in [&mut left, &mut paused] {
        assert!(!gone.wait().expect("its end").success());
    }
    assert!(!folder.exists());
    for alive in [&mut ended, &mut other] {
        assert!(alive.try_wait().expect("its state").is_none());
        alive.kill().and_then(|()| alive.wait()).expect("ended");
    }
}

#[test]
fn a_number_that_another_process_has_by_now_is_left_alone() {
    assert_eq!(born(u32::MAX), None);
    assert_eq!(born(std::process::id()), born(std::process::id()));
    assert!(born(std::process::id()).is_some());
}
