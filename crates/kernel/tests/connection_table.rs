//! Tests the decision which connections are open at the bound, without a network.

use kernel::connection_table::Admission;
use kernel::connection_table::ConnectionId;
use kernel::connection_table::ConnectionTable;

const MAX_CONNECTIONS: usize = 8;

fn open(table: &mut ConnectionTable) -> ConnectionId {
    match table.admit() {
        Admission::Open(opened) | Admission::Replace { opened, .. } => opened,
        Admission::Refuse => panic!("the connection is refused"),
    }
}

fn open_used_idle(table: &mut ConnectionTable) -> ConnectionId {
    let id = open(table);
    table.set_busy(id);
    table.set_idle(id);
    id
}

fn replaced(admission: Admission) -> Option<ConnectionId> {
    match admission {
        Admission::Replace { closed, .. } => Some(closed),
        Admission::Open(_) | Admission::Refuse => None,
    }
}

// Guards against closing connections while there is room.
#[test]
fn connections_under_the_bound_are_opened() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    for _ in 0..MAX_CONNECTIONS {
        assert!(matches!(table.admit(), Admission::Open(_)));
    }
    assert_eq!(table.len(), MAX_CONNECTIONS);
}

// Guards against cutting requests for new connections.
#[test]
fn new_connection_is_refused_if_all_are_busy() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    for _ in 0..MAX_CONNECTIONS {
        let id = open(&mut table);
        table.set_busy(id);
    }
    assert_eq!(table.admit(), Admission::Refuse);
    assert_eq!(table.len(), MAX_CONNECTIONS);
}

// Guards against a flood of silent connections that closes the idle connections of ordinary clients.
#[test]
fn silent_connections_are_closed_before_used_ones() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    let used = [open_used_idle(&mut table), open_used_idle(&mut table)];
    let mut closed = Vec::new();
    for _ in 0..1_000 {
        closed.extend(replaced(table.admit()));
    }
    assert_eq!(closed.len(), 1_000 + used.len() - MAX_CONNECTIONS);
    assert!(closed.iter().all(|id| !used.contains(id)), "an ordinary connection is closed");
    assert!(closed.is_sorted(), "the oldest are not closed first");
}

// Guards against closing a new connection before its first head can arrive.
#[test]
fn new_connection_outlives_some_later_ones() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    for _ in 0..MAX_CONNECTIONS {
        open_used_idle(&mut table);
    }
    let new = open(&mut table);
    assert_ne!(replaced(table.admit()), Some(new));
    assert_ne!(replaced(table.admit()), Some(new));
}

// Guards against a connection that ends twice, or one that becomes idle after it was closed.
#[test]
fn closed_connection_is_not_counted_again() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    let closed = open_used_idle(&mut table);
    table.remove(closed);
    table.remove(closed);
    table.set_busy(closed);
    table.set_idle(closed);
    assert!(table.is_empty());
    for _ in 0..MAX_CONNECTIONS {
        assert!(matches!(table.admit(), Admission::Open(_)));
    }
}
