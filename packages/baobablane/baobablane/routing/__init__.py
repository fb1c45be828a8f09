"""Re-export upstream selection, ejection and retry budgets."""

from ._choose import choose_upstream
from ._ejection import EjectionPolicy, EjectionTable
from ._retry_budget import RetryBudget
from ._upstream import UpstreamState

__all__ = [
    "EjectionPolicy",
    "EjectionTable",
    "RetryBudget",
    "UpstreamState",
    "choose_upstream",
]
