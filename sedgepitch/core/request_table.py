"""Who is owed an answer. Each account is opened once and closed once; that is the whole of rule 1.

Rule of this file: an account is closed by `settle` or by `leave`, whichever is first, and the second call is
an error that is counted and never reaches the client. Bytes of attempts that lost go nowhere, since only the
account knows the client's callback, and gives it up when it closes.
"""

from __future__ import annotations

from sedgepitch.core.types import ClientRequest, InFlightAttempt, ResponseCallback


class PendingRequest:
    """One request that is owed an answer, and its attempts under way."""

    __slots__ = (
        "admitted",
        "answered",
        "attempts",
        "command",
        "deadline",
        "ending",
        "endpoints",
        "heard",
        "id",
        "last",
        "opened",
        "out",
        "sticky",
        "submitted",
        "until",
    )

    def __init__(
        self,
        number: int,
        command: ClientRequest,
        answered: ResponseCallback,
        submitted: float,
        arrived: float,
    ) -> None:
        self.id, self.command = number, command
        self.submitted, self.opened = submitted, arrived  # when it was read, and when its bytes came
        self.answered: ResponseCallback | None = answered
        self.deadline = arrived + command.time_left
        self.until = self.deadline  # what the module is told, earlier by the driver's own delay
        self.ending = False  # its time was up, and the module has been told
        self.heard = 0.0  # when its answer's bytes came, where that is known
        self.sticky = False  # the module knows nothing of it
        self.attempts = 0
        self.admitted = True  # the door has let it in
        self.out: dict[int, tuple[int, float, InFlightAttempt]] = {}  # attempt -> member, sent, exchange
        self.endpoints: list[int] = []
        self.last = ""  # how the last attempt ended, for the log

    @property
    def open(self) -> bool:
        """Whether an answer is owed."""
        return self.answered is not None


class RequestTable:
    """All accounts. Those closed stay while attempts are under way, so that their ends are still heard.

    They also stay until the module has seen what closed them, so that a send decided on before is told as
    not made.
    """

    def __init__(self) -> None:
        self.accounts: dict[int, PendingRequest] = {}
        self.pending = 0
        self.opened = self.settled = self.left = 0
        self.closed: list[PendingRequest] = []  # since the last sweep
        self.twice = 0  # answers to what was closed already; above 0 is a defect
        self._next = 0

    def open(
        self, command: ClientRequest, answered: ResponseCallback, now: float, arrived: float
    ) -> PendingRequest:
        """Owe an answer from here on."""
        self._next += 1
        account = PendingRequest(self._next, command, answered, now, arrived)
        self.accounts[account.id] = account
        self.pending += 1
        self.opened += 1
        return account

    def settle(self, account: PendingRequest) -> ResponseCallback | None:
        """Close an account; returns whom to give the final answer to, None where it was closed already."""
        answered = account.answered
        if answered is None:
            self.twice += 1
            return None
        self._close(account)
        self.settled += 1
        return answered

    def leave(self, account: PendingRequest) -> bool:
        """Close the account of a client that has left; returns whether it was open."""
        if account.answered is None:
            return False
        self._close(account)
        self.left += 1
        return True

    def sweep(self) -> None:
        """Drop the closed accounts that have no attempt under way, once the module has been told."""
        closed, self.closed = self.closed, []
        for account in closed:
            if not account.out:
                self.accounts.pop(account.id, None)

    def ended(self, account: PendingRequest, attempt: int) -> None:
        """Note the end of an attempt; a closed account goes with its last one."""
        account.out.pop(attempt, None)
        if not account.open and not account.out:
            self.closed.append(account)

    def _close(self, account: PendingRequest) -> None:
        account.answered = None
        self.pending -= 1
        self.closed.append(account)
