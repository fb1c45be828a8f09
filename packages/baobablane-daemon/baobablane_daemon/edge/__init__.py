"""Re-export the daemon's HTTP applications."""

from ._callers import MAX_BODY_BYTES, make_callers_app
from ._operators import make_operators_app

__all__ = ["MAX_BODY_BYTES", "make_callers_app", "make_operators_app"]
