"""Carry out the faults of a plan."""

import asyncio
import json
import signal
from collections import Counter
from collections.abc import Callable
from functools import partial

from baobablane_standin.platform import (
    API_KEY,
    StoreSwitches,
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
STORE_SWITCHES: dict[str, tuple[str, object]] = {
    "store-busy": ("rejects_every", BUSY_EVERY),
    "store-slow": ("delay_seconds", STORE_DELAY_SECONDS),
    "store-down": ("is_down", True),
    "store-loses-writes": ("loses_writes", True),
    "store-loses-answers": ("loses_responses", True),
    "store-late-writes": ("late_write_seconds", LATE_WRITE_SECONDS),
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
            end = self._continue if kind == "pause" else _do_nothing
            return partial(self._signal, SIGNALS[kind]), end
        if kind in LINK_KINDS:
            return partial(self._begin_link, kind), partial(self._end_link, kind)
        if kind in STORE_KINDS:
            return partial(self._begin_store, kind), partial(self._end_store, kind)
        if kind == "unhealthy":
            return partial(self._set_health, False), partial(self._set_health, True)
        return partial(self._crash, kind, fault.seconds), _do_nothing

    def _signal(self, number: signal.Signals, name: str) -> None:
        is_sent = self._site.processes[name].signal(number)
        self._history.record("signal", entry=name, signal=number.name, is_sent=is_sent)

    def _continue(self, name: str) -> None:
        self._site.processes[name].signal(signal.SIGCONT)

    def _begin_link(self, kind: str, name: str) -> None:
        link_name, client = split_link(name)
        link = self._site.links[link_name]
        if self._active[kind, name] <= 1:
            link.begin(kind, client)
        if kind == "reset":
            link.reset(client)

    def _end_link(self, kind: str, name: str) -> None:
        link_name, client = split_link(name)
        self._site.links[link_name].end(kind, client)

    def _begin_store(self, kind: str, _: str) -> None:
        store = self._site.platform.store
        if kind in STORE_SWITCHES:
            switch, value = STORE_SWITCHES[kind]
            setattr(store.switches, switch, value)
        else:
            store.forget_history()

    def _end_store(self, kind: str, _: str) -> None:
        if kind in STORE_SWITCHES:
            switch, _value = STORE_SWITCHES[kind]
            default = getattr(StoreSwitches(), switch)
            setattr(self._site.platform.store.switches, switch, default)

    def _set_health(self, is_healthy: bool, name: str) -> None:
        self._site.upstreams[name].rejects_orders = not is_healthy

    def _crash(self, kind: str, seconds: float, name: str) -> None:
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


def _do_nothing(name: str) -> None:
    """End a fault that ends by itself."""
