//! Tests the decision which connections are open at the bound, without a network.

use kernel::connection_table::Admission;
use kernel::connection_table::ConnectionId;
use kernel::connection_table::ConnectionTable;

const MAX_CONNECTIONS: usize = 8;

fn open(table: &mut ConnectionTable) -> ConnectionId {
    match table.admit() {
        Admission::Open(opened)
        | Admission::Replace { opened, .. }
        | Admission::Evict { opened, .. } => opened,
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
        Admission::Open(_) | Admission::Evict { .. } | Admission::Refuse => None,
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

// Guards against stalled bodies on all connections, which would keep every other client out.
#[test]
fn connection_whose_body_stalled_first_is_closed_if_none_is_idle() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    let busy: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| open(&mut table)).collect();
    for id in &busy {
        table.set_busy(*id);
    }
    table.set_stalled(busy[5]);
    table.set_stalled(busy[2]);
    let evicted = |admission| match admission {
        Admission::Evict { evicted, .. } => Some(evicted),
        _ => None,
    };
    assert_eq!(evicted(table.admit()), Some(busy[5]));
    assert_eq!(table.len(), MAX_CONNECTIONS);
    // The new connection is idle, so it is closed before the second stalled one.
    assert!(replaced(table.admit()).is_some_and(|closed| !busy.contains(&closed)));
}

// Guards against cutting a body that brings bytes again, or a request whose body is complete.
#[test]
fn connection_whose_body_continues_is_not_closed() {
    let mut table = ConnectionTable::new(MAX_CONNECTIONS);
    let busy: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| open(&mut table)).collect();
    for id in &busy {
        table.set_busy(*id);
        table.set_stalled(*id);
        table.clear_stalled(*id);
    }
    assert_eq!(table.admit(), Admission::Refuse);
    // A connection that has become idle is no stalled one.
    table.set_stalled(busy[0]);
    table.set_idle(busy[0]);
    assert_eq!(replaced(table.admit()), Some(busy[0]));
}

// Guards against evicting connections while there is room, and against a stalled one that has ended.
#[test]
fn stalled_connections_under_the_bound_stay_open() {
    let mut table = ConnectionTable::new(2);
    let first = open(&mut table);
    table.set_busy(first);
    table.set_stalled(first);
    let second = match table.admit() {
        Admission::Open(second) => second,
        other => panic!("{other:?}"),
    };
    table.set_busy(second);
    table.remove(first);
    assert!(matches!(table.admit(), Admission::Open(_)));
    assert!(matches!(table.admit(), Admission::Replace { .. }));
}
