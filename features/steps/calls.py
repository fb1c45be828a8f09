"""Define steps in which callers send requests."""

import json

from baobablane_standin.local_fleet import OPERATOR_TOKEN, send_request
from behave import given, then, when


def send(context, index, queue, body, team="", headers=None):
    """Send a request and return the answer."""
    headers = dict(headers or {})
    if team:
        headers["Authorization"] = f"Bearer bl_{team}demo_{team}-secret"
    url = f"{context.fleet.callers_url(index)}/v1/queues/{queue}/requests"
    return send_request("POST", url, body.encode(), headers)


@given('the example is published with "baobab apply --wait"')
def publish_example(context):
    """Publish the example."""
    context.fleet.apply(context.example)


@given("every entry instance is ready")
def wait_for_ready(context):
    """Wait for every entry instance."""
    for index in range(context.fleet.entry_count):
        context.fleet.wait_ready(index)


@when('team "{team}" sends "{body}" to queue "{queue}" through entry {index:d}')
def send_with_key(context, team, body, queue, index):
    """Send with a team's key."""
    context.answer = send(context, index, queue, body, team)


@when(
    'somebody without a key sends "{body}" to queue "{queue}" through entry {index:d}'
)
def send_without_key(context, body, queue, index):
    """Send without a key."""
    context.answer = send(context, index, queue, body)


@then('the answer is "{body}" with result {code:d} and outcome "{outcome}"')
def check_answer(context, body, code, outcome):
    """Check a whole answer."""
    assert context.answer.body == body.encode(), context.answer
    check_result(context, code, outcome)


@then('the answer has result {code:d} and outcome "{outcome}"')
def check_result(context, code, outcome):
    """Check the result code and the outcome."""
    headers = {name.lower(): text for name, text in context.answer.headers.items()}
    assert headers["baobablane-result"] == str(code), context.answer
    assert headers["baobablane-outcome"] == outcome, context.answer


@then(
    "each routing decision is one JSON line with its request, upstream, zone and reason"
)
def check_decision_lines(context):
    """Check the decision log of entry 0."""
    wanted = '"event":"routed"'

    def routed():
        lines = context.fleet.log_lines("entry-0")
        return [json.loads(line) for line in lines if wanted in line]

    context.fleet.wait_for(lambda: bool(routed()), "a routing decision")
    for decision in routed():
        assert decision["request"]
        assert decision["upstream"]
        assert decision["zone"]
        assert decision["reason"]


@then(
    "the operators' port of entry {index:d} shows metrics with the token "
    "and refuses without"
)
def check_metrics(context, index):
    """Read the metrics with and without the operator token."""
    url = f"{context.fleet.operators_url(index)}/metrics"
    refused = send_request("GET", url)
    assert refused.status == 401, refused
    shown = send_request(
        "GET", url, headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    )
    assert shown.status == 200
    text = shown.body.decode()
    assert 'baobablane_results_total{code="0"} 1.0' in text, text
    assert 'baobablane_pool_slots{pool="publishing"} 48.0' in text, text
