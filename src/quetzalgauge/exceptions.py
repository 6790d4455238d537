"""Exceptions of the package, all derived from QuetzalgaugeError."""

from collections.abc import Sequence


class QuetzalgaugeError(Exception):
    """Base class of the errors that this package raises."""


class DecodeError(QuetzalgaugeError):
    """Data received from another system is not a valid message."""


class FindingsError(QuetzalgaugeError):
    """A file is invalid; the error lists all findings, not only the first.

    Attributes:
        findings: One line of text per finding, each with its location.
    """

    def __init__(self, findings: Sequence[str]) -> None:
        super().__init__("\n".join(findings))
        self.findings = tuple(findings)


class PlatformError(QuetzalgaugeError):
    """The platform was unreachable or rejected a call."""


class InvalidResponseError(PlatformError):
    """The response to a call is malformed or too long."""


class OutdatedResponseError(PlatformError):
    """The response is from before the store came back from a copy."""


class LogExpiredError(PlatformError):
    """The log no longer retains the records at the requested offset.

    Attributes:
        earliest_offset: The earliest offset that the log still retains.
    """

    def __init__(self, earliest_offset: int) -> None:
        super().__init__(
            f"records before offset {earliest_offset} have expired"
        )
        self.earliest_offset = earliest_offset


class CallInterruptedError(PlatformError):
    """Another thread interrupted the call; the platform is not at fault."""


class NotSentError(PlatformError):
    """There was no connection, so no byte of the request was sent."""
