"""What a failed accept calls for, and how long a listener pauses."""

from __future__ import annotations

import errno

import pytest

from sedgepitch.net.accepting import (
    FIRST_PAUSE,
    LASTING,
    LONGEST_PAUSE,
    MOST_SKIPPED,
    AcceptFailure,
    AcceptRetry,
)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, 0, 9999])
def test_a_shortage_and_an_unknown_error_pause(error):
    assert AcceptRetry().failed(error) is AcceptFailure.SHORTAGE


@pytest.mark.parametrize(
    "error", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENETDOWN]
)
def test_the_failure_of_one_connection_is_followed_by_the_next_but_not_without_end(error):
    retry = AcceptRetry()
    judged = [retry.failed(error) for _ in range(MOST_SKIPPED + 1)]
    assert judged == [AcceptFailure.NEXT] * MOST_SKIPPED + [AcceptFailure.SHORTAGE]


def test_nothing_waits_is_no_failure():
    retry = AcceptRetry()
    assert retry.failed(errno.EAGAIN) is AcceptFailure.NOTHING_WAITS
    assert retry.failures == 0


def test_pauses_double_up_to_a_bound_and_begin_anew_after_a_success():
    retry = AcceptRetry()
    pauses = [retry.next_pause() for _ in range(8)]
    assert pauses[:3] == [FIRST_PAUSE, 2 * FIRST_PAUSE, 4 * FIRST_PAUSE] and pauses[-1] == LONGEST_PAUSE
    retry.succeeded()
    assert retry.next_pause() == FIRST_PAUSE


def test_a_shortage_is_lasting_after_a_time_of_pauses_and_no_more_after_a_success():
    retry = AcceptRetry()
    paused = 0.0
    while not retry.lasting:
        paused += retry.next_pause()
    assert LASTING <= paused < LASTING + LONGEST_PAUSE + FIRST_PAUSE
    retry.succeeded()
    assert not retry.lasting
