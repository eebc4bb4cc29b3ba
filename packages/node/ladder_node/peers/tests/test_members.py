import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_node.peers.members import PeerMember, choose_peers
from ladder_node.peers.tests.fakes import make_members


def reach(members):
    """Return how many members the first one reaches over undirected links."""
    links: dict[PeerMember, set[PeerMember]] = {
        member: set() for member in members
    }
    for member in members:
        for peer in choose_peers(member, members):
            links[member].add(peer)
            links[peer].add(member)
    reached = {members[0]}
    frontier = [members[0]]
    while frontier:
        for peer in links[frontier.pop()] - reached:
            reached.add(peer)
            frontier.append(peer)
    return len(reached)


# Hypothesis fails an example that takes longer than 200 ms.
@pytest.mark.serial
@settings(derandomize=True, max_examples=60)
@given(
    st.integers(1, 11),
    st.integers(1, 12),
    st.sets(st.integers(0, 131), max_size=40),
)
def test_every_set_of_members_is_connected(centres, per_centre, lost):
    members = [
        member
        for index, member in enumerate(make_members(centres, per_centre))
        if index not in lost
    ]
    if members:
        assert reach(members) == len(members)


def test_number_of_chosen_peers_is_bounded_at_the_target_size():
    members = make_members(11, 33)
    degrees = [len(choose_peers(member, members)) for member in members]
    assert max(degrees) <= 5
    assert reach(members) == len(members)
