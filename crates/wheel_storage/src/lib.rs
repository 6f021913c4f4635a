//! Durable log, vote and snapshots under one data folder.
//!
//! [`LogStore`] keeps the durable state of a control instance. It handles bytes and doesn't depend
//! on the consensus protocol. Data given to [`LogStore::append`] and [`LogStore::save_snapshot`] is
//! synced when they return `Ok`; after a failed write or sync all further calls fail. Its files are
//! accessed through a [`StorageDevice`] only.
//!
//! ```
//! use wheel_storage::{LogRecord, LogStore, StoredEntry};
//!
//! let folder = std::env::temp_dir().join(format!("wheel_storage-doc-{}", std::process::id()));
//! let (mut store, restored) = LogStore::open(&folder)?;
//! assert!(restored.entries.is_empty());
//! store.append(&[LogRecord::Entry(StoredEntry { index: 1, term: 1, bytes: b"change".to_vec() })])?;
//! drop(store);
//!
//! let (_store, restored) = LogStore::open(&folder)?;
//! assert_eq!(restored.entries[0].bytes, b"change");
//! # std::fs::remove_dir_all(&folder).ok();
//! # Ok::<(), wheel_storage::StorageError>(())
//! ```

#[cfg(feature = "fault-injection")]
mod disk_fault;
#[cfg(feature = "fault-injection")]
mod faulty_device;
#[cfg(feature = "fault-injection")]
mod held_changes;
mod log_frame;
mod log_record;
mod log_segment;
mod log_store;
mod repaired_tail;
mod restored_folder;
mod segment_header;
mod snapshot_file;
mod storage_device;
mod storage_error;
mod stored_entry;
mod stored_snapshot;
mod stored_vote;

#[cfg(feature = "fault-injection")]
pub use disk_fault::DiskFault;
#[cfg(feature = "fault-injection")]
pub use faulty_device::FaultyDevice;
pub use log_record::LogRecord;
pub use log_store::LogStore;
pub use repaired_tail::{RepairedTail, TailFault};
pub use restored_folder::RestoredFolder;
pub use storage_device::{LocalDevice, StorageDevice};
pub use storage_error::StorageError;
pub use stored_entry::StoredEntry;
pub use stored_snapshot::StoredSnapshot;
pub use stored_vote::StoredVote;
