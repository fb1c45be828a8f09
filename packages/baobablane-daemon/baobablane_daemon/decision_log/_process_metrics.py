"""Define counters and histograms exported by a process on the users' platform."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# From the store's response time without load up to the longest wait of callers.
LATENCY_BUCKETS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
# Maximum number of zones with a time series of their own.
MAX_ZONES = 16

# Accounts beyond these are summed under one name, to bound the size of a scrape.
MAX_ACCOUNTS = 50
OTHER_ACCOUNTS = "others"


class ProcessMetrics:
    """Own a registry, so that processes and tests don't share counters."""

    def __init__(self) -> None:
        """Register all metrics, at zero."""
        self.registry = CollectorRegistry()
        self.unwritten_lines = Counter(
            "baobablane_unwritten_lines",
            "Decisions left out of the log",
            registry=self.registry,
        )
        self.unexpected_errors = Counter(
            "baobablane_unexpected_errors",
            "Errors that cost a log line instead of the process",
            registry=self.registry,
        )
        self.miscounts = Counter(
            "baobablane_miscounts",
            "Counts of resources that differed from the known runs, at each check",
            registry=self.registry,
        )
        self.accept_seconds = Histogram(
            "baobablane_accept_seconds",
            "Time from a job's arrival until it is stored",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.start_seconds = Histogram(
            "baobablane_start_seconds",
            "Time until a start is answered",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.round_seconds = Histogram(
            "baobablane_round_seconds",
            "Time of a round of the owner, without the wait for the next one",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.store_read_seconds = Histogram(
            "baobablane_store_read_seconds",
            "Time of a successful read of a topic, with the wait for a record",
            ["topic"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.store_read_bytes = Counter(
            "baobablane_store_read_bytes",
            "Bytes of successful reads of a topic",
            ["topic"],
            registry=self.registry,
        )
        self.store_read_failures = Counter(
            "baobablane_store_read_failures",
            "Failed reads of a topic",
            ["topic"],
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "baobablane_evacuated_zones",
            "Zones in which operators allow no starts",
            registry=self.registry,
        )
        self._evacuating_runs = Gauge(
            "baobablane_evacuating_runs",
            "Runs in an evacuated zone, as known to the owner",
            ["zone"],
            registry=self.registry,
        )
        self._crashes = Counter(
            "baobablane_upstream_crashes",
            "Crashes of upstreams by what may have caused them",
            ["cause"],
            registry=self.registry,
        )
        self._crash_core_seconds = Counter(
            "baobablane_crash_core_seconds",
            "Work lost in crashes of upstreams, in core-seconds",
            ["cause"],
            registry=self.registry,
        )
        self._outcomes = Counter(
            "baobablane_job_outcomes",
            "Completed jobs by queue, and whether they were in time, late or useless",
            ["queue", "outcome"],
            registry=self.registry,
        )
        self._running_cores = Gauge(
            "baobablane_account_running_cores",
            "Cores of an account's short runs, at the owner",
            ["account"],
            registry=self.registry,
        )
        self._waiting_cores = Gauge(
            "baobablane_account_waiting_cores",
            "Cores of an account's short tasks that wait for room, at the owner",
            ["account"],
            registry=self.registry,
        )
        self.rejected_jobs = Counter(
            "baobablane_rejected_jobs",
            "Jobs rejected for load by pool",
            ["pool"],
            registry=self.registry,
        )
        self._checked_rejections = Counter(
            "baobablane_checked_rejections",
            "Jobs rejected for load by whether they would have been in time",
            ["in_time"],
            registry=self.registry,
        )
        self._decisions = Counter(
            "baobablane_decisions",
            "Decisions by kind",
            ["event"],
            registry=self.registry,
        )
        self._counters_by_event: dict[str, Counter] = {}

    def count_crash(self, cause: str, core_seconds: float) -> None:
        """Count one crash of an upstream, and the work that was lost with it."""
        self._crashes.labels(cause).inc()
        self._crash_core_seconds.labels(cause).inc(core_seconds)

    def set_evacuating_runs(self, runs_by_zone: Mapping[str, int]) -> None:
        """Set the runs of all evacuated zones; zones that are missing are removed."""
        self._evacuating_runs.clear()
        for zone in sorted(runs_by_zone)[:MAX_ZONES]:
            self._evacuating_runs.labels(zone).set(runs_by_zone[zone])

    def count_outcome(self, queue: str, outcome: str) -> None:
        """Count one completed job."""
        self._outcomes.labels(queue, outcome).inc()

    def set_account_cores(
        self, running: Mapping[str, float], waiting: Mapping[str, float]
    ) -> None:
        """Replace the running and waiting cores of all accounts."""
        _set_by_account(self._running_cores, running)
        _set_by_account(self._waiting_cores, waiting)

    def count_checked_rejection(self, would_be_in_time: bool) -> None:
        """Count one rejected job for which it is known whether that was wrong."""
        self._checked_rejections.labels(str(would_be_in_time).lower()).inc()

    def count(self, event: str) -> None:
        """Count one occurrence of a logged event."""
        counter = self._counters_by_event.get(event)
        if counter is None:
            counter = self._counters_by_event[event] = self._decisions.labels(event)
        counter.inc()


def _set_by_account(gauge: Gauge, cores_by_account: Mapping[str, float]) -> None:
    by_cores = sorted(cores_by_account.items(), key=lambda item: (-item[1], item[0]))
    gauge.clear()
    for account, cores in by_cores[: MAX_ACCOUNTS - 1]:
        gauge.labels(account).set(cores)
    others = sum(cores for _, cores in by_cores[MAX_ACCOUNTS - 1 :])
    if others:
        gauge.labels(OTHER_ACCOUNTS).set(others)
