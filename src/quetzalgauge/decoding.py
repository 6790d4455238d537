"""Confines errors in data from other systems to the decoder of that data."""

from collections.abc import Callable
import functools
from typing import ParamSpec
from typing import TypeVar

from quetzalgauge import exceptions

Parameters = ParamSpec("Parameters")
Value = TypeVar("Value")

# A reason may quote the data, which can be megabytes long.
MAX_REASON_LENGTH = 300


def guard(
    name: str,
) -> Callable[[Callable[Parameters, Value]], Callable[Parameters, Value]]:
    """Returns a decorator for functions that only decode.

    The decorated function raises nothing but exceptions.DecodeError, with a
    reason of limited length, so that one odd record cannot end its reader.

    Args:
        name: What is decoded, for the reasons of unexpected errors.
    """

    def decorate(
        decode: Callable[Parameters, Value],
    ) -> Callable[Parameters, Value]:
        @functools.wraps(decode)
        def decode_guarded(
            *args: Parameters.args, **kwargs: Parameters.kwargs
        ) -> Value:
            try:
                return decode(*args, **kwargs)
            except exceptions.DecodeError as error:
                reason = str(error)
                if len(reason) <= MAX_REASON_LENGTH:
                    raise
                cause: Exception = error
            except Exception as error:
                reason = f"{name}: {type(error).__name__}: {error}"
                cause = error
            raise exceptions.DecodeError(reason[:MAX_REASON_LENGTH]) from cause

        return decode_guarded

    return decorate
