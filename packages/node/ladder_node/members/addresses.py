"""Choice of the node addresses that a caller gets."""

from collections.abc import Iterable, Sequence

import xxhash

from ladder_node.members.rows import Member


def choose_addresses(
    members: Iterable[Member],
    data_centre: str,
    region: str,
    limit: int,
) -> Sequence[str]:
    """
    Return the addresses of the nodes nearest to a caller.

    Explanation
    -----------
    Few nodes serve the callers of a data centre, so that the connections of
    these nodes to targets stay warm. The order of the nodes differs between
    data centres (rendezvous hashing), and changes little when nodes join or
    leave.

    Parameters
    ----------
    members : iterable of Member
        The nodes that accept callers.
    data_centre, region : str
        Location of the caller.
    limit : int
        Largest number of addresses to return.

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking, 1998.

    Examples
    --------
    >>> near = Member('a', '1:1', 'leith', 'lowlands', 'x')
    >>> far = Member('b', '2:2', 'inverness', 'highlands', 'y')
    >>> choose_addresses([far, near], 'leith', 'lowlands', 1)
    ['1:1']

    """

    def rank(member: Member) -> tuple[bool, bool, int]:
        weight = f'{data_centre}\n{member.name}'.encode()
        return (
            member.data_centre != data_centre,
            member.region != region,
            xxhash.xxh3_64_intdigest(weight),
        )

    return [member.address for member in sorted(members, key=rank)[:limit]]
