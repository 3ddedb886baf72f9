"""Beside the cases: a tenant whose burst is smaller than one request's tokens.
Its requests are charged for no more than the burst."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lab2 import *  # noqa: F403

CASE = os.path.dirname(os.path.abspath(__file__))
TOKENS_PER_S = 20000
BURST = 200 if TROUBLE else 20000
WINDOW_MS, OVERSHOOT, SLACK = 8000, 0.1, 7400
PROMPT, OUTPUT = 1460, 80
REQUESTS_PER_S, LENGTH_S = 60, 16


async def scenario(record, folder):
    store = Store()
    await store.start()
    store.put("keyed.op", "config", manifest(
        routes=[route("safe", "idempotent", "app", public=False,
                      timeout_ms=4000)],
        services=[service("app")],
        tenants=[{"name": "tenant", "api_keys": ["key-of-the-tenant"],
                  "priority": 1, "unit": "token_stream", "plain_tokens": 200,
                  "rate_per_s": TOKENS_PER_S, "burst": BURST}]))
    workers = [Worker(store, "app", record, slots=200) for _ in range(2)]
    for each in workers:
        await each.start()
    instance = Instance(0, store, folder)
    await instance.start()
    if not await instance.ready():
        return CANNOT_RUN
    await asyncio.sleep(4)
    answers = {}

    async def one(number):
        try:
            status, _, _ = await call(
                instance.callers, "POST", "/safe/1",
                [("Host", "case.example"), ("X-Request-Id", f"r{number}"),
                 ("X-Deadline-Ms", "3000"),
                 ("Authorization", "Token key-of-the-tenant"),
                 ("X-Token-Usage", f"{PROMPT},{OUTPUT}")], b"x", 5)
        except (OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as failure:
            status = type(failure).__name__
        answers[status] = answers.get(status, 0) + 1

    tasks = []
    for number in range(REQUESTS_PER_S * LENGTH_S):
        tasks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    await instance.end()
    runs = sorted(at for each in workers for _, at in each.runs)
    most = max(sum(first <= at < first + WINDOW_MS for at in runs)
               for first in runs) * (PROMPT + OUTPUT)
    allowed = (TOKENS_PER_S * WINDOW_MS / 1000 + BURST) * (1 + OVERSHOOT) + SLACK
    record("answers:", answers)
    record(f"rate_per_s {TOKENS_PER_S}, burst {BURST}: {most} tokens in a "
           f"window, {allowed:.0f} allowed")
    return BROKEN if most > allowed else HELD


main(CASE, scenario)
