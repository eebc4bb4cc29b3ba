from ladder_core.values import Allowance, Lists, Plan


def test_plan_without_allowance_may_use_nothing():
    lists = Lists(1, (Plan('a', 'c', 'hash'),))
    assert lists.find_plan('hash') == Plan('a', 'c', 'hash')
    assert lists.find_plan('other') is None
    assert lists.find_allowance('a') == Allowance('a', max_replicas=0)
