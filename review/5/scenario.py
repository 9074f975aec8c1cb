"""A rolling restart, one gateway a second, while clients ask for streams of which a few are long."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from rig import Client, Rig, config, main, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE = 8.0
GAP = 1.0  # roll_term: "x (1) at a time, each gap_s"; gap_s = 1.0 in the site file.
EVENT_GAP = 0.03
USUAL_EVENTS = (30, 60)
LONG_EVENTS = 159  # The most pieces of dealer-status in the site file; 46.6 in the mean.


async def stream(rig, gateway, events, calls):
    client = Client(rig, gateway)
    call = {"gateway": gateway, "events": events, "sent": None, "answer": None}
    try:
        await client.open()
    except (OSError, asyncio.TimeoutError):
        return
    calls.append(call)
    call["sent"] = rig.record.now()
    call["answer"] = await client.ask("POST", "/dealer/status", body=b"question", left=12000, seconds=13,
                                      Model_Name="m", Token_Counts=f"713,{events * 6}",
                                      Prompt_Prefix=f"aa:600,{rig.number:x}:113")
    client.close()


async def traffic(rig, gateway, calls, until):
    draw = random.Random(gateway.name)
    running = []
    while rig.record.now() < until():
        running.append(asyncio.create_task(stream(rig, gateway, draw.randint(*USUAL_EVENTS), calls)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*running)


async def stop_and_restart(rig, gateway, stops):
    stops[gateway] = rig.record.now()
    gateway.signal(signal.SIGTERM)
    asked = rig.record.now()
    while gateway.alive() and rig.record.now() - asked < GRACE:
        await asyncio.sleep(0.02)
    if gateway.alive():
        gateway.signal(signal.SIGKILL)
        gateway.process.wait()
    rig.record(f"gateway {gateway.name} has ended")
    await asyncio.sleep(0.3)
    gateway.start()


async def scenario(folder):
    rig = Rig(folder, gateways=3)
    try:
        for number in range(4):
            replica = await rig.add_replica(f"i-{number}", "dealer-llm", slots=64)
            replica.work = 0.04
            replica.event_gap = EVENT_GAP
            # A replica makes as many events as the request has tokens for.
            replica.play = play
        routes = [route("dealer-status", "/dealer/", "streaming", "dealer-llm", timeout_ms=12000, max_attempts=2,
                        target_latency_ms=1000, stream_resumption=True, session_affinity=True, priority=2)]
        await rig.start(config(1, routes, ["dealer-llm"]))
        calls, stops, tasks = [], {}, []
        end = [rig.record.now() + 30.0]
        for gateway in rig.gateways:
            tasks.append(asyncio.create_task(traffic(rig, gateway, calls, lambda: end[0])))
        await asyncio.sleep(10)
        begun = rig.record.now()
        end[0] = begun + 12
        for number, gateway in enumerate(rig.gateways):
            if TROUBLE:
                tasks.append(asyncio.create_task(later(begun + number * GAP, rig, stop_and_restart, rig, gateway, stops)))
            for step in range(5):
                at = begun + number * GAP + 3.2 + step * 0.2
                tasks.append(asyncio.create_task(later(at, rig, stream, rig, gateway, LONG_EVENTS, calls)))
        await asyncio.gather(*tasks)
        return judge(rig, calls, stops)
    finally:
        rig.stop()


async def later(at, rig, what, *arguments):
    await asyncio.sleep(max(0, at - rig.record.now()))
    await what(*arguments)


async def play(replica, run, reader, writer):
    await replica.read_body(reader, run.request)
    events = int(run.request.get("Token-Counts").split(",")[1]) // 6
    replica.begin(run)
    if not await replica.wait(run, reader, replica.work):
        return False
    first = int(run.request.get("Last-Event-Id", "0") or 0) + 1
    writer.write(f"HTTP/1.1 200 OK\r\n{replica.fields(run)}Content-Type: text/event-stream\r\n"
                 f"Transfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(first, events + 1):
        if not await replica.wait(run, reader, replica.event_gap):
            return False
        event = replica.event(run, number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")
    run.ended = rig_now(replica)
    return True


def rig_now(replica):
    return replica.record.now()


def judge(rig, calls, stops):
    """LOST: planned work, a request that was passed on, and a connection that ends without a complete answer."""
    broken = []
    runs = {}
    for replica in rig.replicas:
        for run in replica.runs:
            runs.setdefault(run.id, []).append(run)
    complete = 0
    for call in calls:
        answer = call["answer"]
        if answer is None:
            continue
        complete += answer.whole
        if answer.whole or answer.id not in runs or call["gateway"] not in stops:
            continue
        after = call["sent"] - stops[call["gateway"]]
        ended = runs[answer.id][-1].left_at
        in_last_sixth = ended is not None and ended - stops[call["gateway"]] >= GRACE * 5 / 6
        if not (after <= GRACE + 1 and after >= -12):
            continue
        if after <= 3.0 and in_last_sixth:
            continue  # Not counted: sent no later than 3 s after the SIGTERM, and at work in the last sixth.
        broken.append(f"LOST: {answer.id}, sent to {call['gateway'].name} {after:.2f} s after its SIGTERM and run by "
                      f"{runs[answer.id][-1].replica.name}: {answer.problem} after {answer.body.count(b'id:')} of "
                      f"{call['events']} events")
    rig.record(f"judged: {len(calls)} requests, {complete} complete answers, {len(broken)} lost")
    for line in broken:
        rig.record(line)
    return broken


if __name__ == "__main__":
    sys.exit(main(scenario, os.path.dirname(os.path.abspath(__file__))))
