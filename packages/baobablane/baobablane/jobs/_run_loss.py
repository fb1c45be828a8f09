"""Define the record of a run that was lost soon after its start."""

import msgspec


class RunLoss(msgspec.Struct, array_like=True):
    """Hold a run that was lost with its upstream before it had settled."""

    run: int
    upstream: str
    incarnation: int
    # Instance of the upstream; empty if it is unknown.
    instance: str = ""
    # How many runs there had started as recently, with this one; a gang counts as one.
    # 0 if it is unknown whether this one had.
    suspects: int = 0
    # The upstream confirmed its start.
    is_started: bool = False
    # The upstream is known to have crashed; until then it may only be unreachable.
    is_crash: bool = False
    # Labels that may name a common cause, such as the rack.
    labels: tuple[str, ...] = ()
    # When the run ended at the earliest, in Unix milliseconds; 0 if it is unknown.
    lost_ms: int = 0
    # Its start may never have been carried out: the owner that saw the loss did not
    # send it, or the upstream had reported since then that it does not run.
    is_start_doubtful: bool = False
