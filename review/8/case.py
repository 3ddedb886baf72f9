"""The store turns one machine away in silence for a while. Meanwhile the
operator has a zone emptied, and takes its workers down some time after
evacuate_ms."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from lab2 import *  # noqa: F403

CASE = os.path.dirname(os.path.abspath(__file__))
AWAY_S = 4.5
STABLE_WINDOW_S = 3.0
EVACUATE_MS = 5000
# The most by which an unstable core stretches the bound.
MAX_STRETCH_MS = 5000
EVACUATED_AFTER_S = 0.2
ROUNDS = 2
# How long requests go on after the store serves the machine again.
WATCH_S = 10
# After the acknowledgement: longer than the operator has to wait at most.
TAKEN_DOWN_AFTER_S = 11.5
ZONE = "riga-b"


async def scenario(record, folder):
    store = Store()
    await store.start()
    store.put("keyed.op", "config", manifest(
        routes=[route("cert", "non_idempotent", "app", max_attempts=1)],
        services=[service("app")]))
    elsewhere = [Desk(store, "app", record) for _ in range(2)]
    in_zone = [Desk(store, "app", record, zone=ZONE) for _ in range(2)]
    for each in elsewhere + in_zone:
        await each.start()
    first = Instance(0, store, folder)
    await first.start()
    if not await first.ready():
        return CANNOT_RUN
    # Alone until now, the first instance has claimed the lease.
    await asyncio.sleep(2)
    link = LosingLink(store.port)
    await link.start()
    turned_away = Instance(1, link, folder, zone=ZONE)
    other = Instance(2, store, folder, zone=ZONE)
    for each in (turned_away, other):
        await each.start()
    for each in (turned_away, other):
        if not await each.ready():
            return CANNOT_RUN
    await asyncio.sleep(5)
    sent, ends = {}, {}

    async def one(request, instance):
        sent[request] = now_ms()
        try:
            status, _, _ = await call(
                instance.callers, "POST", "/cert/1",
                [("Host", "case.example"), ("X-Request-Id", request),
                 ("X-Deadline-Ms", "3000")], b"x", 4)
        except (OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as failure:
            status = type(failure).__name__
        ends[request] = status
        if status != 200:
            record("caller", request, "->", status)

    async def steadily(name, instance, for_s):
        tasks = []
        for number in range(int(for_s * 20)):
            tasks.append(asyncio.ensure_future(
                one(f"{name}-{number}", instance)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    late, lost = 0, 0
    for number in range(ROUNDS):
        # The disruption begins while a long poll of the machine is young.
        link.long_poll.clear()
        await asyncio.wait_for(link.long_poll.wait(), 20)
        await asyncio.sleep(0.1)
        load = [asyncio.ensure_future(steadily(
            f"round{number}-{each.name}", each, AWAY_S + WATCH_S))
            for each in (turned_away, other)]
        began_at = now_ms()
        if TROUBLE:
            record("the store turns", turned_away.name, "away in silence")
            link.away = True
        await asyncio.sleep(EVACUATED_AFTER_S)
        store.put("keyed.op", f"evacuate/{ZONE}", "{}")
        acked_at = now_ms()
        record("evacuation of", ZONE, "acknowledged")
        await asyncio.sleep(AWAY_S - EVACUATED_AFTER_S)
        link.away = False
        served_at = now_ms()
        record("the store serves", turned_away.name, "again;", link.lost,
               "answers were lost so far")
        await asyncio.sleep(acked_at / 1000 + TAKEN_DOWN_AFTER_S -
                            time.monotonic())
        for each in in_zone:
            each.leave()
            each.exit()
        record("the workers of the zone are taken down")
        await asyncio.gather(*load)
        bound = acked_at + EVACUATE_MS + (MAX_STRETCH_MS if TROUBLE else 0)
        in_touch_at = served_at + STABLE_WINDOW_S * 1000 if TROUBLE else 0
        for worker in in_zone:
            for request, at in worker.runs:
                if request in sent and at > bound and \
                        sent[request] >= max(in_touch_at, began_at):
                    late += 1
                    lost += ends[request] != 200
                    record(f"LATE {request} reached {worker.id} in {ZONE} "
                           f"{at - acked_at:.0f} ms after the evacuation, sent "
                           f"{sent[request] - served_at:.0f} ms after the store"
                           " served the machine again, and got", ends[request])
        store.put("keyed.op", f"evacuate/{ZONE}", None)
        record("the evacuation is taken back")
        in_zone = [Desk(store, "app", record, zone=ZONE) for _ in range(2)]
        for each in in_zone:
            await each.start()
        await asyncio.sleep(1)
    for each in (first, turned_away, other):
        await each.end()
    record(late, "requests reached workers of the zone too late,", lost,
           "of them lost")
    return BROKEN if late else HELD


main(CASE, scenario)
