"""Carry out the faults of a plan."""

import asyncio
import json
import signal
from collections import Counter
from collections.abc import Callable

from baobablane_standin.platform import (
    API_KEY,
    extra_path_prefix,
)

from ._fault import Fault
from ._history import History
from ._plan import LINK_KINDS, OPERATOR_KINDS, PROCESS_KINDS, STORE_KINDS, split_link
from ._site import Site

STORE_DELAY_SECONDS = 0.4
LATE_WRITE_SECONDS = 0.8
BUSY_EVERY = 2
UPKEEP_SECONDS = 1.0
WAVE_SECONDS = 20.0
WAVE_CAP = 2
STORE_SWITCHES: dict[str, tuple[str, object, object]] = {
    "store-busy": ("rejects_every", BUSY_EVERY, 0),
    "store-slow": ("delay_seconds", STORE_DELAY_SECONDS, 0.0),
    "store-down": ("is_down", True, False),
    "store-loses-writes": ("loses_writes", True, False),
    "store-loses-answers": ("loses_responses", True, False),
    "store-late-writes": ("late_write_seconds", LATE_WRITE_SECONDS, 0.0),
}
SIGNALS = {
    "kill": signal.SIGKILL,
    "terminate": signal.SIGTERM,
    "pause": signal.SIGSTOP,
}


class Faults:
    """Begin and end faults; those of one kind and target may overlap."""

    def __init__(self, site: Site, history: History) -> None:
        """Start without faults."""
        self.injected: Counter[str] = Counter()
        self.withdrawn_keys: list[str] = []
        self.queue_count = 0
        self.waves: list[int] = []
        self._site = site
        self._history = history
        self._active: Counter[tuple[str, str]] = Counter()
        self._version = 2

    async def play(self, fault: Fault) -> None:
        """Wait for the time of a fault, begin it, and end it."""
        await asyncio.sleep(max(0.0, fault.at - self._history.now()))
        self._history.record("fault", kind=fault.kind, targets=list(fault.targets))
        self.injected[fault.kind] += 1
        if fault.kind in OPERATOR_KINDS:
            self._operate(fault)
            return
        begin, end = self._find_actions(fault)
        targets = fault.targets or ("",)
        for target in targets:
            self._active[fault.kind, target] += 1
            begin(target)
        await asyncio.sleep(fault.seconds)
        for target in targets:
            self._active[fault.kind, target] -= 1
            if not self._active[fault.kind, target]:
                end(target)
        self._history.record("fault-ends", kind=fault.kind, targets=list(targets))

    def _find_actions(
        self, fault: Fault
    ) -> tuple[Callable[[str], None], Callable[[str], None]]:
        kind = fault.kind
        if kind in PROCESS_KINDS:
            return lambda name: self._signal(name, SIGNALS[kind]), self._continue
        if kind in LINK_KINDS:
            return lambda name: self._begin_link(name, kind), (
                lambda name: self._end_link(name, kind)
            )
        if kind in STORE_KINDS:
            return lambda _: self._set_store(kind, 1), lambda _: self._set_store(
                kind, 2
            )
        if kind == "unhealthy":
            return lambda name: self._set_health(name, False), (
                lambda name: self._set_health(name, True)
            )
        return lambda name: self._crash(name, kind, fault.seconds), lambda name: None

    def _signal(self, name: str, number: signal.Signals) -> None:
        is_sent = self._site.processes[name].signal(number)
        self._history.record("signal", entry=name, signal=number.name, is_sent=is_sent)

    def _continue(self, name: str) -> None:
        self._site.processes[name].signal(signal.SIGCONT)

    def _begin_link(self, name: str, kind: str) -> None:
        link_name, client = split_link(name)
        link = self._site.links[link_name]
        if self._active[kind, name] <= 1:
            link.begin(kind, client)
        if kind == "reset":
            link.reset(client)

    def _end_link(self, name: str, kind: str) -> None:
        name, client = split_link(name)
        self._site.links[name].end(kind, client)

    def _set_store(self, kind: str, position: int) -> None:
        store = self._site.platform.store
        if kind in STORE_SWITCHES:
            setting = STORE_SWITCHES[kind]
            setattr(store.switches, setting[0], setting[position])
        elif position == 1:
            store.forget_history()

    def _set_health(self, name: str, is_healthy: bool) -> None:
        self._site.upstreams[name].rejects_orders = not is_healthy

    def _crash(self, name: str, kind: str, seconds: float) -> None:
        upstream = self._site.upstreams[name]
        if upstream.is_down:
            return
        upstream.crash_seconds = seconds
        upstream.keeps_id = kind == "restart-same-id"
        if kind.endswith("silent"):
            self._site.silent.add(name)
        upstream.crash()
        upstream.crash_seconds = UPKEEP_SECONDS

    def _operate(self, fault: Fault) -> None:
        if fault.kind == "wave":
            self._write_wave(fault)
            return
        if fault.kind == "withdraw-key":
            self.withdrawn_keys.append(f"key-{len(self.withdrawn_keys)}")
            event = {"name": "key-withdrawn", "key": self.withdrawn_keys[-1]}
        else:
            event = {"name": "queue-added", "path": extra_path_prefix(self.queue_count)}
            self.queue_count += 1
        self._version += 1
        keys = [API_KEY, f"key-{len(self.withdrawn_keys)}"]
        self._site.platform.write_config(self._version, keys, self.queue_count)
        self._history.record(**event)

    def _write_wave(self, fault: Fault) -> None:
        number = len(self.waves) + 1
        self.waves.append(number)
        record = {
            "wave": number,
            "machines": [self._site.upstreams[t].instance for t in fault.targets],
            "durationS": WAVE_SECONDS,
            "cap": WAVE_CAP,
        }
        value = json.dumps(record).encode()
        self._site.platform.store.put("keyed.op", f"wave/{number}", value)
        self._history.record("wave", wave=number, targets=list(fault.targets))
