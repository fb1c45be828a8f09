"""Write the operators' configuration into a scripted store."""

import json

from baobablane_platform import CONFIGURATION_KEY, OPERATOR_TOPIC

from .caller import QUEUE

KEYED_PREFIX = "/keyed/"
PUBLIC_PREFIX = "/public/"
KEY = "key-1"


def put_configuration(
    store,
    version,
    keys=(KEY,),
    keyed_prefix=KEYED_PREFIX,
    checks_keys=True,
    max_body_bytes=262_144,
):
    """Write a version with a queue that takes the keys, and a public queue.

    Without `checks_keys`, both queues are public.
    """
    common = {"host": QUEUE.host, "service": "pool"}
    routes = [
        common
        | {"name": "keyed", "pathPrefix": keyed_prefix, "public": not checks_keys},
        common | {"name": "public", "pathPrefix": PUBLIC_PREFIX, "public": True},
    ]
    configuration = {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool"}],
        "limits": {"maxBodyBytes": max_body_bytes},
        "tenants": [{"name": "a", "apiKeys": list(keys)}],
    }
    value = json.dumps(configuration).encode()
    store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, value)
