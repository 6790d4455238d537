"""The exception tree. Everything the package raises derives from one root."""

from collections.abc import Sequence


class QuetzalgaugeError(Exception):
    """Root of all errors raised by this package."""


class DecodeError(QuetzalgaugeError):
    """Bytes from outside are not a valid message."""


class FindingsError(QuetzalgaugeError):
    """A file is invalid. Carries every finding, not only the first.

    Attributes:
        findings: One line of text per finding, each with its place.
    """

    def __init__(self, findings: Sequence[str]) -> None:
        super().__init__("\n".join(findings))
        self.findings = tuple(findings)


class PlatformError(QuetzalgaugeError):
    """The platform could not be reached or refused a call."""


class LogExpiredError(PlatformError):
    """Records from the wanted offset are no longer kept.

    Attributes:
        earliest_offset: The earliest offset that the log still has.
    """

    def __init__(self, earliest: int) -> None:
        super().__init__(f"records before offset {earliest} have expired")
        self.earliest_offset = earliest


class NotSentError(PlatformError):
    """There was no connection, so no byte of a request was sent."""
