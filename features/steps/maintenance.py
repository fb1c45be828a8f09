"""Define steps on drains and maintenance waves."""

import json
import signal

from baobablane_standin.local_fleet import send_request
from behave import given, then, when
from calls import send


@when("entry instance {index:d} is asked to stop")
def ask_to_stop(context, index):
    """Ask an entry instance with SIGTERM to stop gracefully."""
    context.fleet.signal(f"entry-{index}", signal.SIGTERM)


@given("the rules set a reboot time of 1 s")
def shorten_reboots(context):
    """Publish rules with a short reboot time, so that the wave ends soon."""
    rules = context.fleet.write_rules(context.example)
    text = rules.read_text().replace("reboot_seconds = 120.0", "reboot_seconds = 1.0")
    rules.write_text(text)
    register = context.fleet.write_register(context.example)
    context.fleet.run_baobab("apply", str(rules), str(register), "--wait")


@when('a wave "{name}" over pool "{pool}" is started')
def start_wave(context, name, pool):
    """Start a maintenance wave over a pool."""
    context.fleet.run_baobab("wave", "start", name, f"--pool={pool}")


@then('requests of team "{team}" are all served until the wave "{name}" is done')
def check_served_during_wave(context, team, name):
    """Send requests until the wave is done, and check that each is served."""
    phases = set()

    def is_done():
        response = send(context, 0, "previews", "x", team)
        assert response.status == 200, response
        result = context.fleet.run_baobab("wave", "status", "--json")
        report = json.loads(result.stdout)
        phases.update(placement[2] for placement in report["out"])
        return report["waves"][0][1] == "done"

    context.fleet.wait_for(is_done, f"the end of wave {name}")
    assert "rebooting" in phases, phases


@when('the upstream "{name}" is drained')
def drain(context, name):
    """Drain an upstream and wait until every entry instance applies the change."""
    result = context.fleet.run_baobab("drain", name)
    revision = int(result.stdout.rsplit(" ", 1)[1])

    def is_in_force():
        reports = [context.fleet.status(n) for n in range(context.fleet.entry_count)]
        return all(report["revision"] >= revision for report in reports)

    context.fleet.wait_for(is_in_force, f"revision {revision} everywhere")


@then('upstream "{name}" receives none of {count:d} requests of team "{team}"')
def check_no_requests(context, name, count, team):
    """Send requests and check that the upstream has run none of them."""
    for number in range(count):
        response = send(
            context, number % context.fleet.entry_count, "previews", "x", team
        )
        assert response.status == 200
    index = int(name.partition("-")[2]) - 1
    runs_response = send_request("GET", f"{context.fleet.executor_url(index)}/runs")
    assert json.loads(runs_response.body) == []
