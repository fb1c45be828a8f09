"""Define steps on requests that run at most once."""

import json
import threading
import time

from baobablane_standin.local_fleet import send_request
from behave import then, when
from calls import send

EXECUTORS = 30
QUEUE = "publications"


def runs_of(context, key):
    """Return the runs of a key at all executors."""
    runs = []
    for index in range(EXECUTORS):
        reply = send_request("GET", f"{context.fleet.executor_url(index)}/runs")
        runs += [run for run in json.loads(reply.body) if run["key"] == key]
    return runs


def key_headers(context, key):
    """Return the headers of a request under an idempotency key."""
    if not hasattr(context, "expires"):
        context.expires = str(time.time() + 600)
    return {"Idempotency-Key": key, "Idempotency-Expires": context.expires}


@when('team "{team}" publishes "{body}" under key "{key}" through all entries at once')
def send_at_once(context, team, body, key):
    """Send the same request through every entry instance."""
    headers = key_headers(context, key)
    context.answers = []

    def call(index):
        context.answers.append(send(context, index, QUEUE, body, team, headers))

    threads = [
        threading.Thread(target=call, args=(index,))
        for index in range(context.fleet.entry_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when(
    'team "{team}" starts to publish "{body}" under key "{key}" through entry {index:d}'
)
def start_once(context, team, body, key, index):
    """Send a request and return once an executor runs it."""
    headers = key_headers(context, key)

    def call():
        try:
            send(context, index, QUEUE, body, team, headers)
        except OSError:
            return

    threading.Thread(target=call, daemon=True).start()
    context.fleet.wait_for(lambda: bool(runs_of(context, key)), f"a run of {key}")


@when('team "{team}" publishes "{body}" under key "{key}" through entry {index:d}')
def send_once(context, team, body, key, index):
    """Send a non-idempotent request."""
    headers = key_headers(context, key)
    context.answer = send(context, index, QUEUE, body, team, headers)


@when(
    'team "{team}" publishes "{body}" under key "{key}" through entry {index:d} '
    "until it is done"
)
def send_until_done(context, team, body, key, index):
    """Resend a request until its outcome is known."""
    headers = key_headers(context, key)

    def is_done():
        return send(context, index, QUEUE, body, team, headers).status == 200

    context.fleet.wait_for(is_done, "a done request")


@then('every answer is "{body}"')
def check_answers(context, body):
    """Check all answers."""
    assert len(context.answers) == context.fleet.entry_count
    assert all(answer.body == body.encode() for answer in context.answers)


@then('the key "{key}" ran {count:d} times')
def check_runs(context, key, count):
    """Count the runs of a key."""
    assert len(runs_of(context, key)) == count, runs_of(context, key)


@then("the answer says when to come back")
def check_retry_after(context):
    """Check the Retry-After header."""
    headers = {k.lower(): v for k, v in context.answer.headers.items()}
    assert int(headers["retry-after"]) >= 1
