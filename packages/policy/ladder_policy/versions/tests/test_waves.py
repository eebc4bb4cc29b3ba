import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ladder_policy.versions import (
    ReplicaVersion,
    WaveLimits,
    WavePlanner,
    WeightSource,
)

REPLICAS = st.lists(
    st.builds(
        ReplicaVersion,
        st.uuids().map(str),
        st.integers(1, 2),
        st.booleans(),
        st.booleans(),
    ),
    min_size=1,
    max_size=40,
)


# Hypothesis fails an example that takes longer than 200 ms.
@pytest.mark.serial
@settings(derandomize=True)
@given(replicas=REPLICAS, size=st.integers(1, 10**9), share=st.floats(0, 1))
def test_wave_keeps_its_bounds_and_a_rollout_goes_on(replicas, size, share):
    limits = WaveLimits(share, wave_seconds=7, link_bytes_per_second=10**7)
    source = WeightSource(2, size, bytes_per_second=10**8)
    chosen = WavePlanner(limits).choose(replicas, source)
    swapping = [replica for replica in replicas if replica.is_swapping]
    if chosen:
        away = chosen + swapping
        assert len(away) <= max(len(replicas) * share, 1)
        assert len(away) * size <= max(7 * 10**8, size)
        crossing = sum(replica.is_remote for replica in away)
        assert not any(one.is_remote for one in chosen) or (
            crossing * size <= max(7 * 10**7, size)
        )
    elif not swapping:
        assert all(replica.version == 2 for replica in replicas)
