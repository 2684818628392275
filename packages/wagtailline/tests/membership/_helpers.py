"""Set up fleets of members and check what their tables hold."""

import asyncio

from wagtailline_lab.membership_fleet import Fleet, Node

STEP_SECONDS = 0.25


async def start_fleet(seed, size, settings=None, data_centres=('dc1',)):
    fleet = Fleet(seed, settings=settings)
    for index in range(size):
        name = data_centres[index % len(data_centres)]
        fleet.add(f'e{index:03}', name)
    write_lists(fleet, fleet.nodes)
    await asyncio.gather(*(node.service.start() for node in fleet.nodes))
    await asyncio.sleep(20)
    assert agree(fleet)
    return fleet


def write_lists(fleet: Fleet, nodes: list[Node]):
    for name in fleet.data_centres():
        members = [node.member for node in nodes]
        fleet.lists.write(
            name, [member for member in members if member.data_centre == name]
        )


async def replace(fleet: Fleet, node: Node) -> Node:
    successor = fleet.add(node.member.endpoint, node.member.data_centre)
    await successor.service.start()
    return successor


def holders(fleet: Fleet, nodes: list[Node] | None = None):
    """Return the latest live process of each endpoint.

    A process that has learned of its successor no longer counts, even if
    the successor has been killed since.
    """
    latest: dict[str, Node] = {}
    for node in nodes or fleet.live():
        if node.service.successor is not None:
            continue
        known = latest.get(node.member.endpoint)
        if known is None or node.member.incarnation > known.member.incarnation:
            latest[node.member.endpoint] = node
    return latest


def agree(fleet: Fleet, nodes: list[Node] | None = None) -> bool:
    """Return whether the table of each holder has exactly the holders."""
    latest = holders(fleet, nodes)
    expected = {
        endpoint: (node.member.vm, node.member.incarnation)
        for endpoint, node in latest.items()
    }
    return all(believed(node) == expected for node in latest.values())


def believed(node: Node):
    return {
        member.endpoint: (member.vm, member.incarnation)
        for member in node.table.members()
    }


async def wait_until(condition, seconds: float) -> float:
    """Return the virtual seconds until the condition holds, or fail."""
    started_at = asyncio.get_running_loop().time()
    while not condition():
        elapsed = asyncio.get_running_loop().time() - started_at
        assert elapsed < seconds, f'not reached in {seconds} s'
        await asyncio.sleep(STEP_SECONDS)
    return asyncio.get_running_loop().time() - started_at
