"""Re-export the daemon's HTTP applications."""

from ._callers import make_callers_app
from ._operators import make_operators_app

__all__ = ["make_callers_app", "make_operators_app"]
