"""Define steps in which processes fail, and steps on deferred requests."""

import signal
import threading

from baobablane_standin.local_fleet import send_request
from behave import given, then, when
from calls import send


def authorization_header(team):
    """Return the header that carries a team's key."""
    return {"Authorization": f"Bearer bl_{team}demo_{team}-secret"}


@given("the executors take {seconds:d} s for each task")
@when("the executors take {seconds:d} s for each task")
def slow_executors(context, seconds):
    """Set how long each executor takes for a task."""
    for index in range(30):
        context.fleet.set_switches(
            context.fleet.executor_url(index), slow_seconds=seconds
        )


@when(
    'team "{team}" defers "{body}" to queue "{queue}" as "{name}" '
    "through entry instance {index:d}"
)
def defer(context, team, body, queue, name, index):
    """Send a deferred request."""
    headers = {"Prefer": "respond-async", "Baobablane-Request": name}
    context.response = send(context, index, queue, body, team, headers)


@when("every entry instance is killed")
def kill_all(context):
    """Kill all entry instances, without waiting for one before killing the next."""
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


@then(
    'the job "{name}" of team "{team}" ends with response "{body}" '
    "at entry instance {index:d}"
)
def check_job(context, name, team, body, index):
    """Wait for the response of a deferred job."""
    url = f"{context.fleet.callers_url(index)}/v1/requests/{name}"

    def has_ended():
        job_response = send_request("GET", url, headers=authorization_header(team))
        return job_response.status == 200 and job_response.body == body.encode()

    context.fleet.wait_for(has_ended, f"the end of {name}")


@when(
    'team "{team}" sends "{body}" as "{name}" to queue "{queue}" '
    "through entry instance {index:d} in the background"
)
def send_in_background(context, team, body, name, queue, index):
    """Send a request and return once it is in flight, before its response."""
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


@when('team "{team}" cancels "{name}" through entry instance {index:d}')
def cancel(context, team, name, index):
    """Cancel a request."""
    url = f"{context.fleet.callers_url(index)}/v1/requests/{name}"
    send_request("DELETE", url, headers=authorization_header(team))


@then("the background request ends with result {code:d}")
def check_background(context, code):
    """Wait for the response of the request sent in the background."""
    context.thread.join()
    headers = {k.lower(): v for k, v in context.background[0].headers.items()}
    assert headers["baobablane-result"] == str(code), context.background[0]


@given("the log loses the responses to appends")
def lose_responses(context):
    """Make appends take effect without a response."""
    context.fleet.set_switches(context.fleet.log_url, lose_answers=True)


@given("the log is down")
@when("the log is down")
def take_log_down(context):
    """Make the log unavailable."""
    context.fleet.set_switches(context.fleet.log_url, down=True)


@when("the log is up again")
def restore_log(context):
    """Clear the failure switches of the log."""
    context.fleet.set_switches(context.fleet.log_url)


@given('the executors fail in mode "{mode}"')
def make_executors_fail(context, mode):
    """Set a failure mode on all executors."""
    for index in range(30):
        context.fleet.set_switches(context.fleet.executor_url(index), mode=mode)


@when("entry instance {index:d} is killed")
def kill_entry(context, index):
    """Kill one entry instance."""
    context.fleet.signal(f"entry-{index}", signal.SIGKILL)
    context.fleet.processes[f"entry-{index}"].wait()
