"""Define steps on drains and waves."""

import json
import signal

from baobablane_standin.local_fleet import send_request
from behave import given, then, when
from calls import send


@when("entry {index:d} is asked to stop")
def ask_to_stop(context, index):
    """Ask an entry instance to stop gracefully."""
    context.fleet.signal(f"entry-{index}", signal.SIGTERM)


@given("the rules reboot an instance in 1 s")
def quick_reboots(context):
    """Publish rules with short reboots."""
    rules = context.fleet.write_rules(context.example)
    text = rules.read_text().replace("reboot_seconds = 120.0", "reboot_seconds = 1.0")
    rules.write_text(text)
    register = context.fleet.write_register(context.example)
    context.fleet.run_baobab("apply", str(rules), str(register), "--wait")


@when('a wave "{name}" over pool "{pool}" is started')
def start_wave(context, name, pool):
    """Start a wave."""
    context.fleet.run_baobab("wave", "start", name, f"--pool={pool}")


@then('requests of team "{team}" are all served until the wave "{name}" is done')
def serve_through_wave(context, team, name):
    """Send requests until the wave is done; each must be served."""
    phases = set()

    def is_done():
        answer = send(context, 0, "previews", "x", team)
        assert answer.status == 200, answer
        result = context.fleet.run_baobab("wave", "status", "--json")
        report = json.loads(result.stdout)
        phases.update(placement[2] for placement in report["out"])
        return report["waves"][0][1] == "done"

    context.fleet.wait_for(is_done, f"the end of wave {name}")
    assert "rebooting" in phases, phases


@when('the upstream "{name}" is drained')
def drain(context, name):
    """Drain an upstream and wait until every entry instance knows."""
    result = context.fleet.run_baobab("drain", name)
    revision = int(result.stdout.rsplit(" ", 1)[1])

    def in_force():
        reports = [context.fleet.status(n) for n in range(context.fleet.entry_count)]
        return all(report["revision"] >= revision for report in reports)

    context.fleet.wait_for(in_force, f"revision {revision} everywhere")


@then('"{name}" gets none of {count:d} requests of team "{team}"')
def check_gets_none(context, name, count, team):
    """Send requests and look at the upstream's runs."""
    for number in range(count):
        answer = send(
            context, number % context.fleet.entry_count, "previews", "x", team
        )
        assert answer.status == 200
    index = int(name.partition("-")[2]) - 1
    reply = send_request("GET", f"{context.fleet.executor_url(index)}/runs")
    assert json.loads(reply.body) == []
