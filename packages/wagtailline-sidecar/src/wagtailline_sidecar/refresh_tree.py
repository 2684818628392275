"""Tree of the daemons of a data centre along which snapshots pass."""

# Number of daemons that fetch from one. A change passes the link of each VM
# only this many times, whatever the size of the data centre.
FANOUT = 4


def find_ancestors(hosts: list[str], host: str) -> list[str]:
    """Return the hosts between a host and the root of the tree, parent first.

    A host that is not listed counts as the last one.
    """
    position = hosts.index(host) if host in hosts else len(hosts)
    ancestors = []
    while position > 0:
        position = (position - 1) // FANOUT
        ancestors.append(hosts[position])
    return ancestors
