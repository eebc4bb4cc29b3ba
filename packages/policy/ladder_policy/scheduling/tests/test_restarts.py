from ladder_policy.scheduling import RestartPause

# The service promises to start owed work again within this time.
MAX_HELD_SECONDS = 2


def test_work_that_is_lost_without_end_is_never_held_back_for_long():
    pause = RestartPause()
    pauses = [pause.record_loss() for _ in range(50)]
    assert max(pauses) <= MAX_HELD_SECONDS
    # A fleet of several processes is not taken down at once.
    assert min(pauses[1:]) > 0


def test_progress_ends_the_pauses():
    pause = RestartPause()
    for _ in range(5):
        pause.record_loss()
    pause.record_progress()
    assert not pause.has_losses
    assert pause.record_loss() == 0
