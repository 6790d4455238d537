"""The era of the store: learned from its responses, told to the rest.

The store names its era in each response. A higher one than before shows that
it has come back from an older copy of itself. Responses of an earlier era may
still arrive on other connections; whatever they say is outdated.
"""

from collections.abc import Callable
import threading

from quetzalgauge import exceptions
from quetzalgauge import ids

MAX_ERA = 10**9
# A higher step is an error of the sender. The era rises by one each time, but
# an instance may miss some of them.
MAX_ERA_STEP = 1_000

# Called with the text that names the era in a response, None if it has none,
# and with the call. Returns the era, or raises
# `exceptions.OutdatedResponseError`.
CheckEra = Callable[[str | None, str], ids.StoreEra]


def make_era_check(
    on_new_era: Callable[[ids.StoreEra, ids.StoreEra, str], None],
    on_rejected: Callable[[str, str | None, str], None],
) -> CheckEra:
    """Returns a function that checks the era of each response. Thread-safe.

    As long as the store names no era, all responses are accepted. Once it has
    named one, responses without an era are rejected like those of an earlier
    one, since they may be.

    Args:
        on_new_era: Called with the era before, the new one and the call whose
            response named it.
        on_rejected: Called with the reason, the text and the call for each
            response that names no valid era or is outdated.
    """
    lock = threading.Lock()
    known: ids.StoreEra | None = None

    def check(text: str | None, call: str) -> ids.StoreEra:
        nonlocal known
        era = _parse_era(text)
        with lock:
            previous = ids.UNNAMED_ERA if known is None else known
            reason = _find_rejection(previous, era, text)
            if not reason and (known is None or era > known):
                is_new = known is not None
                known = era
            else:
                is_new = False
        if reason:
            on_rejected(reason, text, call)
            if previous != ids.UNNAMED_ERA:
                raise exceptions.OutdatedResponseError(
                    f"{call}: the response names era {text!r:.60}, but"
                    f" {previous} is known ({reason})"
                )
        if is_new:
            on_new_era(previous, era, call)
        return era

    return check


def accept_all(text: str | None, call: str) -> ids.StoreEra:
    """Accepts any response; for callers that keep nothing between calls."""
    return _parse_era(text)


def _parse_era(text: str | None) -> ids.StoreEra:
    """Returns the era that a text names; a text of another form names none."""
    if text is None or not (text.isascii() and text.isdigit()):
        return ids.UNNAMED_ERA
    # Long texts are not worth converting.
    era = int(text) if len(text) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return ids.StoreEra(era) if era <= MAX_ERA else ids.UNNAMED_ERA


def _find_rejection(
    known: ids.StoreEra, era: ids.StoreEra, text: str | None
) -> str:
    """Returns why a response is rejected, an empty text if it is not."""
    if era == ids.UNNAMED_ERA:
        if text is not None:
            return "invalid"
        return "" if known == ids.UNNAMED_ERA else "missing"
    if era < known:
        return "outdated"
    if known != ids.UNNAMED_ERA and era - known > MAX_ERA_STEP:
        return "implausible"
    return ""
