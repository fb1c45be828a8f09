"""Re-export the decision log and the metrics of a process.

The package imports nothing that an entry instance on the users' platform doesn't need,
since all of them restart at the same time after a loss of power.
"""

from ._decision_log import Decision, DecisionLog
from ._process_metrics import ProcessMetrics
from ._standard_error import guard_standard_error

__all__ = ["Decision", "DecisionLog", "ProcessMetrics", "guard_standard_error"]
