"""Requests wait for a target while manifests add and remove their route."""

import asyncio
import copy
import os
import random
import sys

sys.path.insert(0, os.path.join(
    os.path.dirname(os.path.abspath(__file__)), os.pardir, "lab3"))
import lab  # noqa: E402

INSTANCES = 8
WAITING_CALLERS = 6
ARRIVAL_GAP_S = 0.2
CHANGES = 40
TENANTS = 5
CHANGE_GAP_S = 2.0
RESTART_S = 1.0
SEED = 59
# Fault: on a tenth of the machines, two at least, three ends in a day.
MACHINES_AT_FAULT = max(2, -(-INSTANCES // 10))
ENDS_AT_FAULT = 3


def route(name, service, timeout_ms=4000):
    return {"name": name, "host": "review.example",
            "path_prefix": "/%s/" % name, "type": "non_idempotent",
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": 1, "public": False}


def key_of(tenant):
    return "i9n73hh2b9wu3fexd9%02d" % tenant


# As many as a small deployment has, with those that nobody asks for.
LASTING = [route("issue-%d" % number, "app") for number in range(13)]
NEW = route("archive", "archive-app")
MANIFEST = {
    "version": 7,
    "routes": LASTING + [NEW],
    "services": [
        {"name": "app", "health_path": "/healthz", "max_conns": 110},
        {"name": "archive-app", "health_path": "/healthz", "max_conns": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [
        {"name": "hule93%d" % tenant, "api_keys": [key_of(tenant)],
         "priority": 1, "unit": "token_stream", "plain_tokens": 200,
         "rate_per_s": 79607, "burst": 79607} for tenant in range(TENANTS)],
}


class Day:
    def __init__(self, run):
        self.run = run
        self.over = False
        self.ends = {}
        self.cut = 0
        self.random = random.Random(SEED)
        self.tasks = []

    def begin(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def ask_again_and_again(self, instance, number, path, pause_s):
        caller = lab.Caller(self.run.record, instance,
                            "%s-c%d" % (instance.name, number))
        while not self.over:
            # One connection may carry the requests of several tenants.
            caller.key = key_of(self.random.randrange(TENANTS))
            answer = await caller.ask("POST", path, 4000)
            self.judge(answer)
            after = float((answer.headers if answer else {}).get(
                "retry-after", "0"))
            await asyncio.sleep(max(after, pause_s))

    async def ask_evenly(self, instance):
        """Callers of the new service come evenly, whatever became of those
        before them."""
        callers = [lab.Caller(self.run.record, instance,
                              "%s-c%d" % (instance.name, number))
                   for number in range(WAITING_CALLERS)]
        busy = set()
        number = 0
        while not self.over:
            number += 1
            free = [each for each in callers if each not in busy]
            if free:
                caller = free[number % len(free)]
                caller.key = key_of(self.random.randrange(TENANTS))
                busy.add(caller)
                self.begin(self.ask_once(caller, busy))
            await asyncio.sleep(ARRIVAL_GAP_S)

    async def ask_once(self, caller, busy):
        self.judge(await caller.ask("POST", "/archive/1", 4000))
        busy.discard(caller)

    def judge(self, answer):
        if (answer is not None and answer.status is None and
                answer.seconds > lab.BOUNDS["loss_slack_ms"] / 1000):
            self.cut += 1

    async def restart(self, instance):
        """As the platform does: a process that ends is started again."""
        while not self.over:
            status = instance.ended()
            if status is not None:
                self.ends[instance.name] = self.ends.get(instance.name, 0) + 1
                self.run.record.note("%s has ended by itself with %d %s" % (
                    instance.name, status, instance.last_words()))
                await asyncio.sleep(RESTART_S)
                instance.start()
            await asyncio.sleep(0.02)

    async def change(self):
        for number in range(CHANGES):
            newer = copy.deepcopy(MANIFEST)
            newer["version"] = 9 + 3 * number
            without = number % 2 == 0
            if lab.TROUBLE and without:
                newer["routes"].remove(NEW)
            elif without:
                newer["routes"][0]["timeout_ms"] += 100
            await self.run.put_manifest(newer)
            await asyncio.sleep(CHANGE_GAP_S)


async def scenario(run):
    async def answer(asked, own, writer):
        await asyncio.sleep(0.06)
        return lab.signed(own, b"x" * 800)

    await run.start_store()
    await run.put_manifest(MANIFEST)
    for index in range(3):
        await lab.Worker(run.store, run.record, "w%d" % index, "app", answer,
                         slots=6).start()
    await run.start_instances(INSTANCES)
    await asyncio.sleep(3)
    day = Day(run)
    for instance in run.instances:
        day.begin(day.restart(instance))
        # The workers of the new service are not up yet.
        day.begin(day.ask_evenly(instance))
        day.begin(
            day.ask_again_and_again(instance, 4, "/issue-0/1", 0.5))
    await day.change()
    day.over = True
    at_fault = [name for name, count in day.ends.items()
                if count >= ENDS_AT_FAULT]
    run.record.note("ends by themselves: %s" % day.ends)
    run.record.note("requests that got no answer for over %d ms: %d" % (
        lab.BOUNDS["loss_slack_ms"], day.cut))
    run.record.note("machines with %d ends or more: %d, a fault from %d on" % (
        ENDS_AT_FAULT, len(at_fault), MACHINES_AT_FAULT))
    return len(at_fault) < MACHINES_AT_FAULT


if __name__ == "__main__":
    lab.run(__file__, scenario)
