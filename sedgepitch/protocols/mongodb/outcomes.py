"""Map an endpoint's error reply to the outcome of an attempt.

An error that is not in the table is a result of the client's request, and is forwarded to the client. Codes
and names: MongoDB's error_codes.yml.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sedgepitch.core.types import AttemptOutcome
from sedgepitch.protocols.mongodb.codec import Message
from sedgepitch.protocols.mongodb.reply import ReplySummary
from sedgepitch.routing.messages import AttemptResult


@dataclass(slots=True, frozen=True)
class ErrorMeaning:
    """What an error code means for the attempt and its endpoint."""

    result: AttemptResult
    rejects_writes: bool  # the endpoint is not the primary
    text: str  # for operators; the code is appended


class Meaning(Enum):
    """The meanings of errors that concern the endpoint and not the request."""

    # Rejected, nothing ran: the endpoint is not the primary, or does not serve reads.
    NOT_PRIMARY = ErrorMeaning(AttemptResult.NOT_ELIGIBLE, True, "not primary")
    # The endpoint stepped down as primary while the command ran; the command may have had an effect.
    STEPPED_DOWN = ErrorMeaning(AttemptResult.ERROR, True, "stepped down")
    # The endpoint sheds load; nothing ran.
    OVERLOADED = ErrorMeaning(AttemptResult.OVERLOADED, False, "full")
    # A fault of the endpoint; the command may have run.
    ENDPOINT_FAULT = ErrorMeaning(AttemptResult.ERROR, False, "member in trouble")


MEANING_OF_CODE = {
    10107: Meaning.NOT_PRIMARY,  # NotWritablePrimary
    10058: Meaning.NOT_PRIMARY,  # LegacyNotPrimary
    13435: Meaning.NOT_PRIMARY,  # NotPrimaryNoSecondaryOk
    13436: Meaning.NOT_PRIMARY,  # NotPrimaryOrSecondary
    189: Meaning.STEPPED_DOWN,  # PrimarySteppedDown
    11602: Meaning.STEPPED_DOWN,  # InterruptedDueToReplStateChange
    462: Meaning.OVERLOADED,  # IngressRequestRateLimitExceeded
    6: Meaning.ENDPOINT_FAULT,  # HostUnreachable
    7: Meaning.ENDPOINT_FAULT,  # HostNotFound
    89: Meaning.ENDPOINT_FAULT,  # NetworkTimeout
    91: Meaning.ENDPOINT_FAULT,  # ShutdownInProgress
    133: Meaning.ENDPOINT_FAULT,  # FailedToSatisfyReadPreference
    262: Meaning.ENDPOINT_FAULT,  # ExceededTimeLimit
    9001: Meaning.ENDPOINT_FAULT,  # SocketException
    11600: Meaning.ENDPOINT_FAULT,  # InterruptedAtShutdown
}
NO_WRITES_LABEL = b"NoWritesPerformed"


def error_meaning(summary: ReplySummary) -> ErrorMeaning | None:
    """Return the meaning of an endpoint's error, None if it is a result of the request itself.

    NoWritesPerformed means that nothing ran, whatever the code. Codes that report the loss of the primary
    role take precedence over the label.
    """
    meaning = MEANING_OF_CODE.get(summary.code)
    if meaning is not None and meaning.value.rejects_writes:
        return meaning.value
    if NO_WRITES_LABEL in summary.labels:
        return Meaning.OVERLOADED.value
    return None if meaning is None else meaning.value


def error_outcome(meaning: ErrorMeaning, summary: ReplySummary, message: Message) -> AttemptOutcome:
    """Return the outcome of an attempt that an endpoint answered with this error."""
    primary = False if meaning.rejects_writes else None
    why = f"{meaning.text} (code {summary.code})"
    return AttemptOutcome(meaning.result, message, primary, why=why)


def malformed_outcome(error: Exception) -> AttemptOutcome:
    """Return the outcome of an attempt whose reply is malformed."""
    return AttemptOutcome(AttemptResult.ERROR, why=f"bad reply: {error}")
