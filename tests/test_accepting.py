"""The classification of failed `accept` calls, and the length of a listener's pauses."""

from __future__ import annotations

import errno

import pytest

from sedgepitch.net.accepting import (
    LASTING_SHORTAGE_S,
    MAX_CONSECUTIVE_SKIPS,
    AcceptFailure,
    AcceptRetry,
)
from sedgepitch.net.shortage import PAUSE_MAX_S, PAUSE_MIN_S


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, 0, 9999])
def test_a_shortage_and_an_unknown_error_pause(error):
    assert AcceptRetry().failed(error) is AcceptFailure.SHORTAGE


@pytest.mark.parametrize(
    "error", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.EINTR, errno.ENETDOWN]
)
def test_failed_connections_are_skipped_up_to_a_limit_in_a_row(error):
    retry = AcceptRetry()
    failures = [retry.failed(error) for _ in range(MAX_CONSECUTIVE_SKIPS + 1)]
    assert failures == [AcceptFailure.NEXT] * MAX_CONSECUTIVE_SKIPS + [AcceptFailure.SHORTAGE]


def test_an_empty_backlog_is_not_a_failure():
    retry = AcceptRetry()
    assert retry.failed(errno.EAGAIN) is AcceptFailure.BACKLOG_EMPTY
    assert retry.failures == 0


def test_pauses_double_up_to_a_bound_and_start_over_after_a_success():
    retry = AcceptRetry()
    pauses = [retry.next_pause() for _ in range(8)]
    assert pauses[:3] == [PAUSE_MIN_S, 2 * PAUSE_MIN_S, 4 * PAUSE_MIN_S] and pauses[-1] == PAUSE_MAX_S
    retry.succeeded()
    assert retry.next_pause() == PAUSE_MIN_S


def test_a_shortage_is_lasting_after_half_a_second_of_pauses_until_a_success():
    retry = AcceptRetry()
    paused = 0.0
    while not retry.lasting:
        paused += retry.next_pause()
    assert LASTING_SHORTAGE_S <= paused < LASTING_SHORTAGE_S + PAUSE_MAX_S + PAUSE_MIN_S
    retry.succeeded()
    assert not retry.lasting
