"""Define steps in which callers send requests and check responses."""

import json

from baobablane_standin.local_fleet import OPERATOR_TOKEN, send_request
from behave import given, then, when


def send(context, index, queue, body, team="", headers=None):
    """Send a request to a queue through an entry instance and return the response."""
    headers = dict(headers or {})
    if team:
        headers["Authorization"] = f"Bearer bl_{team}demo_{team}-secret"
    url = f"{context.fleet.callers_url(index)}/v1/queues/{queue}/requests"
    return send_request("POST", url, body.encode(), headers)


@given('the example is published with "baobab apply --wait"')
def publish_example(context):
    """Publish the example's rules and register, and wait until they are in force."""
    context.fleet.apply(context.example)


@given("every entry instance is ready")
def wait_for_ready(context):
    """Wait until every entry instance is ready for callers."""
    for index in range(context.fleet.entry_count):
        context.fleet.wait_ready(index)


@when(
    'team "{team}" sends "{body}" to queue "{queue}" through entry instance {index:d}'
)
def send_with_key(context, team, body, queue, index):
    """Send a request with a team's key."""
    context.response = send(context, index, queue, body, team)


@when(
    'a client without a key sends "{body}" to queue "{queue}" '
    "through entry instance {index:d}"
)
def send_without_key(context, body, queue, index):
    """Send a request without a key."""
    context.response = send(context, index, queue, body)


@then('the response is "{body}" with result {code:d} and outcome "{outcome}"')
def check_response(context, body, code, outcome):
    """Check the body, the result code and the outcome of the last response."""
    assert context.response.body == body.encode(), context.response
    check_result(context, code, outcome)


@then('the response has result {code:d} and outcome "{outcome}"')
def check_result(context, code, outcome):
    """Check the result code and the outcome of the last response."""
    headers = {name.lower(): text for name, text in context.response.headers.items()}
    assert headers["baobablane-result"] == str(code), context.response
    assert headers["baobablane-outcome"] == outcome, context.response


@then(
    "each routing decision is one JSON line with its request, upstream, zone and reason"
)
def check_decision_lines(context):
    """Check the routing decisions that entry instance 0 has logged."""
    routed_event = '"event":"routed"'

    def routed_decisions():
        lines = context.fleet.log_lines("entry-0")
        return [json.loads(line) for line in lines if routed_event in line]

    context.fleet.wait_for(lambda: bool(routed_decisions()), "a routing decision")
    for decision in routed_decisions():
        assert decision["request"]
        assert decision["upstream"]
        assert decision["zone"]
        assert decision["reason"]


@then(
    "the operators' port of entry instance {index:d} serves metrics "
    "only with the operator token"
)
def check_metrics(context, index):
    """Read the metrics with and without the operator token."""
    url = f"{context.fleet.operators_url(index)}/metrics"
    rejected = send_request("GET", url)
    assert rejected.status == 401, rejected
    accepted = send_request(
        "GET", url, headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    )
    assert accepted.status == 200
    text = accepted.body.decode()
    assert 'baobablane_results_total{code="0"} 1.0' in text, text
    assert 'baobablane_pool_slots{pool="publishing"} 48.0' in text, text
