"""Tests of the connections that make room for others."""

from wagtailline.connection_table import ConnectionTable


class Connection:
    def __init__(self) -> None:
        self.is_open = True

    def evict(self) -> None:
        self.is_open = False


def fill(size: int) -> tuple[ConnectionTable, list[Connection]]:
    table: ConnectionTable = ConnectionTable(size)
    connections = [Connection() for _ in range(size)]
    assert all([table.add(connection) for connection in connections])
    return table, connections


def test_oldest_silent_connection_makes_room():
    """Guards against clients that take all descriptors of a daemon."""
    table, connections = fill(3)
    assert table.add(Connection())
    assert [connection.is_open for connection in connections] == [
        False,
        True,
        True,
    ]
    assert len(table) == 3


def test_silent_connections_make_room_before_those_in_use():
    """Guards against ordinary clients that lose their connections."""
    table, (used, silent, busy) = fill(3)
    for connection in (used, busy):
        table.note_busy(connection)
    table.note_idle(used)
    assert table.add(Connection())
    assert used.is_open
    assert not silent.is_open
    table.note_busy(next(iter(set(table.connections) - {used, busy})))
    assert table.add(Connection())
    assert not used.is_open
    assert busy.is_open


def test_connection_is_refused_while_all_are_busy():
    """Guards against requests in progress that are cut for others."""
    table, connections = fill(3)
    for connection in connections:
        table.note_busy(connection)
    assert not table.add(Connection())
    assert all(connection.is_open for connection in connections)
    assert len(table) == 3


def test_closed_connection_leaves_room():
    """Guards against a table that fills up with closed connections."""
    table, connections = fill(3)
    table.discard(connections[0])
    table.note_idle(connections[0])
    assert table.add(Connection())
    assert all(connection.is_open for connection in connections)
