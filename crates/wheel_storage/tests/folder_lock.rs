//! Only one process at a time can open a folder. This test is alone in its file because a child
//! process shares its parent's locks for a moment while it starts, which would disturb other tests.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::process::Command;

use tempfile::tempdir;
use wheel_storage::{LogStore, StorageError};

#[test]
fn open_used_folder_refuses_other_processes() {
    const CHILD: &str = "WHEEL_STORAGE_TEST_FOLDER";
    if let Some(folder) = std::env::var_os(CHILD) {
        let opened = LogStore::open(Path::new(&folder));
        assert!(matches!(opened, Err(StorageError::Locked { .. })));
        return;
    }
    let folder = tempdir().unwrap();
    let (store, _) = LogStore::open(folder.path()).unwrap();
    let name = "open_used_folder_refuses_other_processes";
    let mut child = Command::new(std::env::current_exe().unwrap());
    let status = child.args([name, "--exact"]).env(CHILD, folder.path()).status().unwrap();
    assert!(status.success(), "the second process opened the folder");
    drop(store);
    LogStore::open(folder.path()).unwrap();
}
