//! The connections from other instances that a hub has open.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{Admission, AdmissionLimits, AdmissionTable, ConnectionClass, ConnectionId};

/// Closes the connections that the [`AdmissionTable`] gives up.
pub(crate) struct ConnectionRegistry {
    table: RefCell<AdmissionTable>,
    closers: RefCell<HashMap<ConnectionId, CancellationToken>>,
}

/// Counts a call as in progress on its connection until it is dropped.
pub(crate) struct ActiveCall {
    registry: Rc<ConnectionRegistry>,
    connection: ConnectionId,
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.registry.table.borrow_mut().end_call(Instant::now(), self.connection);
    }
}

impl ConnectionRegistry {
    pub(crate) fn open(limits: AdmissionLimits) -> Rc<Self> {
        let table = RefCell::new(AdmissionTable::open(limits));
        Rc::new(Self { table, closers: RefCell::default() })
    }

    /// Adds a connection; the token is cancelled when it is to be closed.
    pub(crate) fn accept(&self) -> (ConnectionId, CancellationToken) {
        let (id, closes) = self.table.borrow_mut().accept(Instant::now());
        closes.inspect(|closed| self.close(*closed));
        let closer = CancellationToken::new();
        self.closers.borrow_mut().insert(id, closer.clone());
        (id, closer)
    }

    /// Admits a call over a connection, and returns the connection's class; `None` if there is no
    /// place for it.
    pub(crate) fn begin_call(
        self: &Rc<Self>,
        connection: ConnectionId,
        is_quorum: bool,
    ) -> Option<(ConnectionClass, ActiveCall)> {
        let admission = self.table.borrow_mut().begin_call(Instant::now(), connection, is_quorum);
        let Admission::Admitted { class, closes } = admission else { return None };
        closes.inspect(|closed| self.close(*closed));
        Some((class, ActiveCall { registry: self.clone(), connection }))
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, connection: ConnectionId) {
        self.table.borrow_mut().remove(connection);
        self.closers.borrow_mut().remove(&connection);
    }

    fn close(&self, connection: ConnectionId) {
        if let Some(closer) = self.closers.borrow_mut().remove(&connection) {
            closer.cancel();
        }
    }
}
