//! Only known faults that are named in the environment are planted.

use std::process::Command;

use wheel_seams::{PLANT_VARIABLE, PLANTED_NAMES, is_planted};

#[test]
fn is_planted_matches_listed_names() {
    const CHILD: &str = "WHEEL_SEAMS_TEST_CHILD";
    if std::env::var_os(CHILD).is_some() {
        let planted = PLANTED_NAMES.into_iter().filter(|name| is_planted(name));
        assert_eq!(planted.collect::<Vec<_>>(), ["overcommit", "repeat_unsafe"]);
        assert!(!is_planted("unheard_of"));
        return;
    }
    assert!(PLANTED_NAMES.into_iter().all(|name| !is_planted(name)));
    let mut child = Command::new(std::env::current_exe().unwrap());
    child.args(["is_planted_matches_listed_names", "--exact"]).env(CHILD, "1");
    child.env(PLANT_VARIABLE, "repeat_unsafe, overcommit,unheard_of");
    assert!(child.status().unwrap().success());
}
