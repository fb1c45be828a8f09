"""Define steps on non-idempotent requests, which run at most once."""

import json
import threading
import time

from baobablane_standin.local_fleet import send_request
from behave import then, when
from calls import send

EXECUTOR_COUNT = 30
QUEUE = "publications"


def runs_of(context, key):
    """Return the runs under an idempotency key at all executors."""
    runs = []
    for index in range(EXECUTOR_COUNT):
        runs_response = send_request("GET", f"{context.fleet.executor_url(index)}/runs")
        runs += [run for run in json.loads(runs_response.body) if run["key"] == key]
    return runs


def idempotency_headers(context, key):
    """Return the headers of a request under an idempotency key."""
    if not hasattr(context, "expires"):
        context.expires = str(time.time() + 600)
    return {"Idempotency-Key": key, "Idempotency-Expires": context.expires}


@when(
    'team "{team}" publishes "{body}" under key "{key}" '
    "through all entry instances concurrently"
)
def send_concurrently(context, team, body, key):
    """Send the same request through every entry instance concurrently."""
    headers = idempotency_headers(context, key)
    context.responses = []

    def call(index):
        context.responses.append(send(context, index, QUEUE, body, team, headers))

    threads = [
        threading.Thread(target=call, args=(index,))
        for index in range(context.fleet.entry_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when(
    'team "{team}" starts publishing "{body}" under key "{key}" '
    "through entry instance {index:d}"
)
def start_request(context, team, body, key, index):
    """Send a request and return once an executor runs it."""
    headers = idempotency_headers(context, key)

    def call():
        try:
            send(context, index, QUEUE, body, team, headers)
        except OSError:
            return

    threading.Thread(target=call, daemon=True).start()
    context.fleet.wait_for(lambda: bool(runs_of(context, key)), f"a run of {key}")


@when(
    'team "{team}" publishes "{body}" under key "{key}" '
    "through entry instance {index:d}"
)
def publish_under_key(context, team, body, key, index):
    """Send a non-idempotent request and wait for its response."""
    headers = idempotency_headers(context, key)
    context.response = send(context, index, QUEUE, body, team, headers)


@when(
    'team "{team}" publishes "{body}" under key "{key}" '
    "through entry instance {index:d} until it is done"
)
def send_until_done(context, team, body, key, index):
    """Resend a request until it is done."""
    headers = idempotency_headers(context, key)

    def is_done():
        return send(context, index, QUEUE, body, team, headers).status == 200

    context.fleet.wait_for(is_done, "a successful response")


@then('every response is "{body}"')
def check_responses(context, body):
    """Check that every entry instance returned the same body."""
    assert len(context.responses) == context.fleet.entry_count
    assert all(response.body == body.encode() for response in context.responses)


@then('the number of runs under key "{key}" is {count:d}')
def check_runs(context, key, count):
    """Check how many runs the executors have recorded under a key."""
    assert len(runs_of(context, key)) == count, runs_of(context, key)


@then("the response has a Retry-After header of at least 1 s")
def check_retry_after(context):
    """Check the Retry-After header."""
    headers = {k.lower(): v for k, v in context.response.headers.items()}
    assert int(headers["retry-after"]) >= 1
