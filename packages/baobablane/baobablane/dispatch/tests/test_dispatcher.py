"""Test when and where requests run, and which results callers get."""

from random import Random

from baobablane.config import (
    ConfigView,
    Instance,
    Pool,
    Queue,
    QueueClass,
    Service,
    Settings,
    Team,
)
from baobablane.dispatch import (
    Attempt,
    AttemptResult,
    Dispatcher,
    DispatchPolicy,
    Finish,
    Reason,
    Start,
    Wait,
    WorkRequest,
)
from baobablane.errors import Outcome, ResultCode, outcome_of
from baobablane.limits import Escrow
from baobablane.membership import SLOT_COUNT
from hypothesis import given
from hypothesis import strategies as st

NOT_STARTED_RESULTS = {
    AttemptResult.FULL,
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_RECORDED,
}


def make_queue(idempotent=True, queue_class=QueueClass.URGENT, run_seconds=1.0):
    """Return a queue, named "once" if its requests are not idempotent."""
    name = "q" if idempotent else "once"
    return Queue(name, "s", queue_class, False, idempotent, False, 30.0, run_seconds)


def make_dispatcher(upstream_count=6, slots=8, limit=100, queues=None):
    """Return a dispatcher with one pool, and its escrow."""
    queues = queues or [make_queue(), make_queue(idempotent=False)]
    instances = {
        f"w{n}": Instance(
            f"w{n}", "10.0.0.1", 80, "abc"[n % 3], "r", "p", slots, 64, 1, 1
        )
        for n in range(upstream_count)
    }
    view = ConfigView(
        0,
        instances_by_id=instances,
        teams_by_name={name: Team(name, 1.0, limit) for name in ("t", "u")},
        pools_by_name={"p": Pool("p", ("t", "u"))},
        services_by_name={"s": Service("s", "p", 0.99, 60, 1)},
        queues_by_name={queue.name: queue for queue in queues},
        settings=Settings(1, 0.1, 60.0),
        serving_by_pool={"p": tuple(instances.values())},
    )
    escrow = Escrow("me")
    escrow.set_limits({"t": limit, "u": limit}, 0)
    escrow.set_slots(range(SLOT_COUNT))
    dispatcher = Dispatcher("a", escrow, Random(1), DispatchPolicy())
    dispatcher.apply_config(view)
    return dispatcher, escrow


def make_request(number=1, queue=None, team="t", now=0.0, seconds=30.0):
    """Return a request whose deadline is `seconds` after `now`."""
    queue = queue or make_queue()
    return WorkRequest(f"r{number}", team, queue, "p", now, now + seconds)


class TestOutcomes:
    """Test final results; no request that may have run gets the outcome not-run."""

    @given(st.booleans(), st.lists(st.sampled_from(AttemptResult), max_size=12))
    def test_not_run_is_reported_only_if_nothing_ran(self, idempotent, results):
        dispatcher, escrow = make_dispatcher()
        request = make_request(queue=make_queue(idempotent))
        step = dispatcher.submit(request, 0.0)
        may_have_run = False
        sent = 0
        for result in results:
            if isinstance(step, Wait):
                step = next(iter(dispatcher.start_waiting(1.0)), step)
            if not isinstance(step, Start):
                break
            if result not in NOT_STARTED_RESULTS:
                may_have_run = True
                sent += 1
            step = dispatcher.handle_result(step.attempt, result, 1.0)
        if isinstance(step, Wait):
            step = dispatcher.abandon("r1", ResultCode.DEADLINE_PASSED, Reason.DEADLINE)
        if isinstance(step, Finish):
            outcome = outcome_of(step.code)
            assert (outcome is Outcome.NOT_RUN) == (not may_have_run)
            assert escrow.running["t"] == 0
            assert dispatcher.pools["p"].running == 0
            assert all(u.in_flight == 0 for u in dispatcher.pools["p"].upstreams)
        if not idempotent:
            assert sent <= 1

    def test_queue_full_rejection_has_a_retry_time(self):
        dispatcher, _ = make_dispatcher(upstream_count=1, slots=1)
        dispatcher.submit(make_request(1), 0.0)
        for number in range(2, 60):
            step = dispatcher.submit(make_request(number), 0.0)
        assert isinstance(step, Finish)
        assert step.code is ResultCode.QUEUE_FULL
        assert step.retry_after_seconds >= 1.0

    def test_pool_without_upstreams_rejects_immediately(self):
        dispatcher, _ = make_dispatcher(upstream_count=0)
        step = dispatcher.submit(make_request(), 0.0)
        assert isinstance(step, Finish)
        assert step.code is ResultCode.NO_UPSTREAM


class TestRouting:
    """Test the choice of upstreams, and that retries stay bounded."""

    def test_low_load_stays_in_the_local_zone(self):
        dispatcher, _ = make_dispatcher()
        steps = [dispatcher.submit(make_request(n), 0.0) for n in range(4)]
        assert {step.zone for step in steps} == {"a"}

    def test_high_load_spreads_over_all_zones(self):
        dispatcher, _ = make_dispatcher()
        steps = [dispatcher.submit(make_request(n), 0.0) for n in range(48)]
        assert all(isinstance(step, Start) for step in steps)
        assert {step.zone for step in steps} == {"a", "b", "c"}

    def test_failing_request_gives_up_and_ejects_no_upstream(self):
        dispatcher, _ = make_dispatcher()
        for number in range(40):
            step = dispatcher.submit(make_request(number, now=number), float(number))
            tried = []
            while isinstance(step, Start):
                tried.append(step.attempt.upstream)
                step = dispatcher.handle_result(
                    step.attempt, AttemptResult.FAILED, float(number)
                )
            assert step.code in (ResultCode.GIVEN_UP, ResultCode.UPSTREAM_FAILED)
            assert len(set(tried)) == len(tried) <= 3
        chosen = {
            dispatcher.submit(make_request(100 + n, now=50.0), 50.0).attempt.upstream
            for n in range(48)
        }
        assert len(chosen) == 6

    def test_retries_stay_within_the_retry_budget(self):
        dispatcher, _ = make_dispatcher()
        attempts = 0
        for number in range(500):
            step = dispatcher.submit(make_request(number), 0.0)
            while isinstance(step, Start):
                attempts += 1
                step = dispatcher.handle_result(step.attempt, AttemptResult.FAILED, 0.0)
        assert attempts <= 500 * 1.2 + 10

    def test_leaving_upstream_gets_no_new_requests(self):
        dispatcher, _ = make_dispatcher()
        dispatcher.set_leaving({"w0", "w3"})
        steps = [dispatcher.submit(make_request(n), 0.0) for n in range(32)]
        assert {"w0", "w3"}.isdisjoint(step.attempt.upstream for step in steps)


class TestEjection:
    """Test that failing upstreams are ejected, and used again once they recover."""

    def run_load(self, dispatcher, requests, failing, start=0.0):
        """Run requests and return the number of attempts and of successes."""
        attempts = done = 0
        for number in range(requests):
            now = start + number * 0.05
            request = make_request(f"{start}-{number}", now=now)
            step = dispatcher.submit(request, now)
            while isinstance(step, Start):
                attempts += 1
                result = AttemptResult.DONE
                if step.attempt.upstream in failing:
                    result = AttemptResult.FAILED
                step = dispatcher.handle_result(step.attempt, result, now)
            done += step.code is ResultCode.DONE
        return attempts, done

    def test_failing_upstream_is_ejected_and_every_request_is_done(self):
        dispatcher, _ = make_dispatcher()
        attempts, done = self.run_load(dispatcher, 400, {"w0"})
        assert done == 400
        assert attempts <= 400 * 1.05

    def test_pool_recovers_after_every_upstream_failed(self):
        dispatcher, _ = make_dispatcher()
        all_upstreams = {f"w{n}" for n in range(6)}
        self.run_load(dispatcher, 400, all_upstreams)
        _, done = self.run_load(dispatcher, 100, set(), start=300.0)
        assert done == 100

    def test_recovered_upstream_gets_requests_again(self):
        dispatcher, _ = make_dispatcher()
        self.run_load(dispatcher, 200, {"w0"})
        self.run_load(dispatcher, 400, set(), start=200.0)
        steps = [
            dispatcher.submit(make_request(n, now=300.0), 300.0) for n in range(48)
        ]
        assert "w0" in {step.attempt.upstream for step in steps}


class TestCancellation:
    """Test that cancelled requests leave the queue and the others start."""

    def test_cancelling_waiting_requests_lets_the_others_start(self):
        dispatcher, escrow = make_dispatcher(upstream_count=1, slots=2)
        first = [dispatcher.submit(make_request(n), 0.0) for n in range(2)]
        for number in range(2, 20):
            assert isinstance(dispatcher.submit(make_request(number), 0.0), Wait)
        for number in range(2, 19):
            finish = dispatcher.abandon(
                f"r{number}", ResultCode.CANCELLED, Reason.CANCELLED
            )
            assert finish.code is ResultCode.CANCELLED
        assert dispatcher.abandon("r3", ResultCode.CANCELLED, Reason.CANCELLED) is None
        dispatcher.handle_result(first[0].attempt, AttemptResult.CANCELLED, 0.1)
        started = list(dispatcher.start_waiting(0.1))
        assert [start.attempt.request for start in started] == ["r19"]
        assert escrow.running["t"] == 2


class TestQueueClasses:
    """Test that urgent work goes first without starving normal work."""

    def test_normal_work_is_not_starved(self):
        normal = Queue("rest", "s", QueueClass.NORMAL, False, True, False, 30.0, 1.0)
        urgent = make_queue()
        dispatcher, _ = make_dispatcher(
            upstream_count=1, slots=2, queues=[urgent, normal]
        )
        served = {"q": 0, "rest": 0}
        running: list[Attempt] = []
        for second in range(200):
            now = float(second)
            for number in range(3):
                for queue in (urgent, normal):
                    name = f"{queue.name}-{second}-{number}"
                    request = make_request(name, queue, now=now)
                    step = dispatcher.submit(request, now)
                    if isinstance(step, Start):
                        running.append(step.attempt)
            running += [start.attempt for start in dispatcher.start_waiting(now)]
            for attempt in running:
                served[attempt.request[1:].split("-")[0]] += 1
                dispatcher.handle_result(attempt, AttemptResult.DONE, now + 1.0)
            running = [start.attempt for start in dispatcher.start_waiting(now + 1.0)]
        total = sum(served.values())
        assert served["q"] > 0.8 * total
        assert served["rest"] >= 0.08 * total

    def test_long_work_leaves_slots_for_urgent_work(self):
        long_queue = Queue(
            "rest", "s", QueueClass.NORMAL, False, True, False, 600.0, 60.0
        )
        urgent = make_queue()
        dispatcher, _ = make_dispatcher(queues=[urgent, long_queue])
        for number in range(100):
            request = make_request(f"rebuild-{number}", long_queue, seconds=600.0)
            dispatcher.submit(request, 0.0)
        assert dispatcher.pools["p"].running == 36
        steps = [dispatcher.submit(make_request(n, now=1.0), 1.0) for n in range(12)]
        # Urgent requests may queue behind the long ones, but start in the next round.
        assert all(isinstance(step, (Start, Wait)) for step in steps)
        started = {start.attempt.request for start in dispatcher.start_waiting(1.0)}
        started |= {s.attempt.request for s in steps if isinstance(s, Start)}
        assert started == {f"r{n}" for n in range(12)}
