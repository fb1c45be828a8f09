"""Define steps that change the configuration and check what is in force."""

import json
import signal
import threading
import time

from baobablane_standin.local_fleet import send_request
from behave import given, then, when
from calls import send


def result_code(response):
    """Return the result code of a response."""
    headers = {name.lower(): text for name, text in response.headers.items()}
    return int(headers["baobablane-result"])


@given("entry instance {index:d} cannot reach the log")
def cut_from_log(context, index):
    """Make the log reject every request of one entry instance."""
    context.fleet.set_switches(context.fleet.log_url, cut_clients=[f"entry-{index}"])


@given("entry instance {index:d} is paused")
def pause(context, index):
    """Suspend the process with SIGSTOP."""
    context.fleet.signal(f"entry-{index}", signal.SIGSTOP)
    context.paused_at = time.monotonic()


@when("entry instance {index:d} has been paused for {seconds:d} s")
def wait_while_paused(context, seconds, index):
    """Wait until the process has been paused for a number of seconds."""
    end = context.paused_at + seconds
    context.fleet.wait_for(lambda: time.monotonic() >= end, f"{seconds} s")


@when("entry instance {index:d} is resumed")
def resume(context, index):
    """Resume a paused process."""
    context.fleet.signal(f"entry-{index}", signal.SIGCONT)


@when('the key "{key}" is withdrawn')
def withdraw(context, key):
    """Withdraw a key, and wait until that is in force everywhere."""
    context.fleet.run_baobab("key", "withdraw", key)


@when('the key "{key}" is withdrawn without waiting')
def withdraw_without_waiting(context, key):
    """Withdraw a key while a paused entry instance can't confirm the change."""
    context.fleet.run_baobab("key", "withdraw", key, "--nowait")


@when("the example is published again")
def publish_again(context):
    """Publish the example's original rules again."""
    context.fleet.apply(context.example)


@then('team "{team}" is rejected with result {code:d} by every entry instance')
def check_rejected(context, team, code):
    """Wait until every entry instance rejects a team's requests."""

    def is_rejected():
        responses = [
            send(context, index, "previews", "x", team)
            for index in range(context.fleet.entry_count)
        ]
        return all(result_code(response) == code for response in responses)

    context.fleet.wait_for(is_rejected, f"result {code} everywhere")


@then('team "{team}" is never served through entry instance {index:d}')
def check_never_served(context, team, index):
    """Send until the instance rejects the withdrawn key; no request may be served."""

    def is_rejected():
        code = result_code(send(context, index, "previews", "x", team))
        assert code != 0, "a withdrawn key was served"
        return code == 203

    context.fleet.wait_for(is_rejected, "result 203")


@then('team "{team}" is served through every entry instance')
def check_served(context, team):
    """Check that every entry instance serves a team."""
    for index in range(context.fleet.entry_count):
        assert result_code(send(context, index, "previews", "x", team)) == 0


@when("two operators change the same team concurrently")
def apply_concurrently(context):
    """Apply two different rules files concurrently."""
    base = context.fleet.write_rules(context.example).read_text()
    register = context.fleet.write_register(context.example)
    context.results = []

    def apply(name, limit):
        path = register.with_name(f"{name}.toml")
        path.write_text(base.replace("limit = 96", f"limit = {limit}"))
        context.results.append(
            context.fleet.run_baobab("apply", str(path), str(register), check=False)
        )

    # Delay both appends until both are sent, so that both expect the same revision.
    context.fleet.set_switches(context.fleet.log_url, gather_config_appends=2)
    threads = [
        threading.Thread(target=apply, args=(name, limit))
        for name, limit in (("ana", 90), ("bo", 80))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(
    'one command reports "applied" and the other reports a conflict '
    "with exit status {status:d}"
)
def check_conflict(context, status):
    """Check that one change was applied and the other rejected."""
    applied = [r for r in context.results if r.returncode == 0]
    rejected = [r for r in context.results if r.returncode == status]
    assert len(applied) == len(rejected) == 1, context.results
    assert "applied at revision" in applied[0].stdout
    assert "team/montevideo is at revision" in rejected[0].stderr


@when("a checkpoint is written and older records expire")
def expire_older_records(context):
    """Wait for a checkpoint in each stream, then expire the records before it."""
    for stream in ("config", "membership"):
        url = f"{context.fleet.log_url}/streams/{stream}"

        def last_checkpoint(url=url):
            records = json.loads(send_request("GET", f"{url}/records?from=0").body)[
                "records"
            ]
            offsets = [r["offset"] for r in records if '"checkpoint"' in r["payload"]]
            return offsets[-1] if offsets else None

        context.fleet.wait_for(
            lambda find=last_checkpoint: find() is not None, f"a checkpoint of {stream}"
        )
        send_request("POST", f"{url}/expire?before={last_checkpoint()}")
