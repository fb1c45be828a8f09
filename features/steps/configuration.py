"""Define steps on the configuration in force."""

import json
import signal
import threading
import time

from baobablane_standin.local_fleet import send_request
from behave import given, then, when
from calls import send


def result_of(answer):
    """Return the result code of an answer."""
    headers = {name.lower(): text for name, text in answer.headers.items()}
    return int(headers["baobablane-result"])


@given("entry {index:d} is cut off from the log")
def cut_from_log(context, index):
    """Let the log refuse one entry instance."""
    context.fleet.set_switches(context.fleet.log_url, cut_clients=[f"entry-{index}"])


@given("entry {index:d} is paused")
def pause(context, index):
    """Stop the process for a while."""
    context.fleet.signal(f"entry-{index}", signal.SIGSTOP)
    context.paused_at = time.monotonic()


@when("{seconds:d} s pass for entry {index:d}")
def wait_paused(context, seconds, index):
    """Wait until the process has been paused for a time."""
    end = context.paused_at + seconds
    context.fleet.wait_for(lambda: time.monotonic() >= end, f"{seconds} s")


@when("entry {index:d} goes on")
def resume(context, index):
    """Let a paused process go on."""
    context.fleet.signal(f"entry-{index}", signal.SIGCONT)


@when('the key "{key}" is withdrawn')
def withdraw(context, key):
    """Withdraw a key."""
    context.fleet.run_baobab("key", "withdraw", key)


@when('the key "{key}" is withdrawn without waiting')
def withdraw_unwatched(context, key):
    """Withdraw a key while an entry instance can't say that it knows."""
    context.fleet.run_baobab("key", "withdraw", key, "--nowait")


@when("the example is published again")
def publish_again(context):
    """Publish the example's first rules once more."""
    context.fleet.apply(context.example)


@then('team "{team}" is refused with result {code:d} through every entry')
def check_refused(context, team, code):
    """Wait until a team is refused everywhere."""

    def refused():
        answers = [
            send(context, index, "previews", "x", team)
            for index in range(context.fleet.entry_count)
        ]
        return all(result_of(answer) == code for answer in answers)

    context.fleet.wait_for(refused, f"result {code} everywhere")


@then('team "{team}" is never served through entry {index:d}')
def check_never_served(context, team, index):
    """Send until the instance says that the key is withdrawn; none may be served."""

    def refused():
        code = result_of(send(context, index, "previews", "x", team))
        assert code != 0, "a withdrawn key was served"
        return code == 203

    context.fleet.wait_for(refused, "result 203")


@then('team "{team}" is served through every entry')
def check_served(context, team):
    """Check that a team is served everywhere."""
    for index in range(context.fleet.entry_count):
        assert result_of(send(context, index, "previews", "x", team)) == 0


@when("two operators change the same team at once")
def race(context):
    """Apply two different rules files at once."""
    base = context.fleet.write_rules(context.example).read_text()
    register = context.fleet.write_register(context.example)
    context.results = []

    def apply(name, limit):
        path = register.with_name(f"{name}.toml")
        path.write_text(base.replace("limit = 96", f"limit = {limit}"))
        context.results.append(
            context.fleet.run_baobab("apply", str(path), str(register), check=False)
        )

    # Both have read the same revision before the change of either is appended.
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
    'one is told "applied" and the other is told of the conflict '
    "with exit status {status:d}"
)
def check_race(context, status):
    """Check what both operators were told."""
    won = [r for r in context.results if r.returncode == 0]
    lost = [r for r in context.results if r.returncode == status]
    assert len(won) == len(lost) == 1, context.results
    assert "applied at revision" in won[0].stdout
    assert "team/montevideo is at revision" in lost[0].stderr


@when("a checkpoint is written and everything older expires")
def expire(context):
    """Append checkpoints as an entry instance does, then expire what is older."""
    for stream in ("config", "membership"):
        url = f"{context.fleet.log_url}/streams/{stream}"

        def last_checkpoint(url=url):
            records = json.loads(send_request("GET", f"{url}/records?from=0").body)[
                "records"
            ]
            found = [r["offset"] for r in records if '"checkpoint"' in r["payload"]]
            return found[-1] if found else None

        context.fleet.wait_for(
            lambda find=last_checkpoint: find() is not None, f"a checkpoint of {stream}"
        )
        send_request("POST", f"{url}/expire?before={last_checkpoint()}")
