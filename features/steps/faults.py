"""Define steps in which parts of the system fail."""

import signal
import threading

from baobablane_standin.local_fleet import send_request
from behave import given, then, when
from calls import send


def key_header(team):
    """Return the header that carries a team's key."""
    return {"Authorization": f"Bearer bl_{team}demo_{team}-secret"}


@given("the executors take {seconds:d} s for each task")
@when("the executors take {seconds:d} s for each task")
def slow_executors(context, seconds):
    """Slow all executors down."""
    for index in range(30):
        context.fleet.set_switches(
            context.fleet.executor_url(index), slow_seconds=seconds
        )


@when(
    'team "{team}" defers "{body}" to queue "{queue}" as "{name}" '
    "through entry {index:d}"
)
def defer(context, team, body, queue, name, index):
    """Send deferred work."""
    headers = {"Prefer": "respond-async", "Baobablane-Request": name}
    context.answer = send(context, index, queue, body, team, headers)


@when("every entry instance is killed")
def kill_all(context):
    """Kill every entry instance at once."""
    for index in range(context.fleet.entry_count):
        context.fleet.signal(f"entry-{index}", signal.SIGKILL)
    for index in range(context.fleet.entry_count):
        context.fleet.processes[f"entry-{index}"].wait()


@when("every entry instance is started again")
def start_all(context):
    """Start every entry instance and wait until it is ready."""
    for index in range(context.fleet.entry_count):
        context.fleet.start_entry(index)
    for index in range(context.fleet.entry_count):
        context.fleet.wait_ready(index)


@then('the job "{name}" of team "{team}" ends with "{body}" at entry {index:d}')
def check_job(context, name, team, body, index):
    """Wait for a deferred job's answer."""
    url = f"{context.fleet.callers_url(index)}/v1/requests/{name}"

    def ended():
        reply = send_request("GET", url, headers=key_header(team))
        return reply.status == 200 and reply.body == body.encode()

    context.fleet.wait_for(ended, f"the end of {name}")


@when(
    'team "{team}" starts "{body}" as "{name}" on queue "{queue}" '
    "through entry {index:d} and goes on"
)
def send_in_background(context, team, body, name, queue, index):
    """Send a request and do not wait for its answer."""
    context.background = []

    def call():
        headers = {"Baobablane-Request": name}
        context.background.append(send(context, index, queue, body, team, headers))

    context.thread = threading.Thread(target=call)
    context.thread.start()

    def is_running():
        status = context.fleet.status(index)
        return bool(status and status["in_flight_by_upstream"])

    context.fleet.wait_for(is_running, f"the start of {name}")


@when('team "{team}" cancels "{name}" through entry {index:d}')
def cancel(context, team, name, index):
    """Cancel a request."""
    url = f"{context.fleet.callers_url(index)}/v1/requests/{name}"
    send_request("DELETE", url, headers=key_header(team))


@then("the request that went on ends with result {code:d}")
def check_background(context, code):
    """Wait for the answer of the request sent in the background."""
    context.thread.join()
    headers = {k.lower(): v for k, v in context.background[0].headers.items()}
    assert headers["baobablane-result"] == str(code), context.background[0]


@given("the log loses the answers to appends")
def lose_answers(context):
    """Let appends take effect without an answer."""
    context.fleet.set_switches(context.fleet.log_url, lose_answers=True)


@given("the log is down")
@when("the log is down")
def log_down(context):
    """Take the log down."""
    context.fleet.set_switches(context.fleet.log_url, down=True)


@when("the log is up again")
def log_up(context):
    """Bring the log back."""
    context.fleet.set_switches(context.fleet.log_url)


@given('the executors answer "{mode}"')
def executors_answer(context, mode):
    """Switch a failure on at all executors."""
    for index in range(30):
        context.fleet.set_switches(context.fleet.executor_url(index), mode=mode)


@when("entry {index:d} is killed")
def kill_entry(context, index):
    """Kill one entry instance."""
    context.fleet.signal(f"entry-{index}", signal.SIGKILL)
    context.fleet.processes[f"entry-{index}"].wait()
