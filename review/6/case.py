"""Streams begin while a service has one software version; a second version joins, and clients take
the streams up again. With TROUBLE, all machines are killed in between and start again."""
import asyncio
import os
import re
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "bed2"))
import bed  # noqa: E402

STREAMS = 24
EVENTS = 60
EVENT_PAUSE_S = 0.2
CONTACT_S = 3.0
LIMIT_S = 14.0
TRIES = 6  # Of a client that takes a stream up, 0.3 s apart as the machines ask for.
MACHINES = 4
EVENT = re.compile(rb"id: (\d+)\ndata: (v\d) ")


class Engine(bed.Runner):
    async def generate(self, request, headers, writer, events=0, pause_s=0.0):
        return await super().generate(request, headers, writer, EVENTS, EVENT_PAUSE_S)


async def stream(at, headers, request, until, most=EVENTS):
    """Reads a stream until an instant, or until it has brought some events."""
    status, got, writer = 0, [], None
    head = {
        "Host": "a.example",
        "X-Request-Id": request,
        "X-Deadline-Ms": str(int(LIMIT_S * 1000)),
        "Content-Length": "3",
        **headers,
    }
    bed.SENT[request] = at[0]
    try:
        async with asyncio.timeout(max(0.1, until - bed.now())):
            reader, writer = await asyncio.open_connection(*at)
            lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
            writer.write(f"POST /resumed/a HTTP/1.1\r\n{lines}\r\n".encode() + b"abc")
            first = await bed.read_head(reader)
            if first is None:
                return status, got
            status = int(first[0].split()[1])
            read = b""
            while status == 200 and len(got) < most:
                piece = await reader.read(4096)
                if not piece:
                    break
                read += piece
                got = [(int(number), version.decode()) for number, version in EVENT.findall(read)]
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return status, got


def prompt(number):
    return {
        "X-Model": "m",
        "X-Token-Counts": "1000,3840",
        "Length-Hint": "3840",
        "X-Prefix-Hash": f"aa:200,{number:x}:800",
    }


async def learner(fleet, number, record, cut_at, back_at):
    """A client whose stream ends at `cut_at` and who takes it up from `back_at` on.
    Returns whether it had begun, and whether it went on."""
    request = bed.request_id()
    _, got = await stream(fleet.front(number % MACHINES), prompt(number), request, cut_at)
    record.add("began", request=request, events=len(got), version=got[-1][1] if got else "none")
    if not got:
        return None
    await asyncio.sleep(max(0.0, back_at - bed.now()))
    for attempt in range(TRIES):
        at = fleet.front((number + attempt) % MACHINES)
        headers = {**prompt(number), "Last-Event-Id": str(got[-1][0]), "Resumes": request}
        again = bed.request_id()
        status, more = await stream(at, headers, again, bed.now() + 5.0, 1)
        record.add("taken up", request=again, resumes=request, machine=at[0], status=status,
                   events=len(more))
        if more:
            return True
        await asyncio.sleep(0.3)
    return False


async def fresh(fleet, number, record):
    request = bed.request_id()
    at = fleet.front(number % MACHINES)
    status, got = await stream(at, prompt(1000 + number), request, bed.now() + 5.0, 1)
    record.add("new", request=request, machine=at[0], status=status, events=len(got))
    return bool(got)


async def case(record):
    store = bed.Store()
    await store.start()
    engines = [
        Engine(f"i-decode{n}", "tutor", record, role="decode", version="v1" if n < 3 else "v2")
        for n in range(6)
    ]
    readers = [bed.Runner(f"i-read{n}", "tutor", record, role="prefill") for n in range(3)]
    for runner in engines + readers:
        await runner.start()
        if runner.version == "v1":
            store.list_runner(runner.name, runner.entry())
    store.put_config(bed.config())
    fleet = bed.Fleet(store, record, MACHINES)
    try:
        for number in range(MACHINES):
            fleet.start(number, fleet.hosts[:3], first_start=True)
        for number in range(MACHINES):
            await fleet.ready(number)
        await asyncio.sleep(5.0)  # The machines are in touch, and have marked the version.
        begins = bed.now()
        joins, cut_at, back_at = begins + 1.5, begins + 4.0, begins + 4.0 + 1.0 + CONTACT_S + 1.0
        learners = asyncio.gather(
            *[learner(fleet, number, record, cut_at, back_at) for number in range(STREAMS)]
        )
        await asyncio.sleep(joins - bed.now())
        for runner in engines:
            if runner.version == "v2":
                store.list_runner(runner.name, runner.entry())
        record.add("joins", version="v2")
        await asyncio.sleep(cut_at - 0.1 - bed.now())
        if bed.TROUBLE:
            record.add("all machines are killed")
            for number in range(MACHINES):
                fleet.processes[number].kill()
            for number in range(MACHINES):
                fleet.processes[number].wait()
            await asyncio.sleep(0.8)
            for number in range(MACHINES):
                fleet.start(number, fleet.hosts[:3])
            for number in range(MACHINES):
                await fleet.ready(number)
            record.add("all machines are back")
        await asyncio.sleep(back_at - bed.now())
        new = await asyncio.gather(*[fresh(fleet, number, record) for number in range(STREAMS)])
        taken = [went for went in await learners if went is not None]
        if len(fleet.running()) != MACHINES:
            raise RuntimeError("a daemon has ended by itself")
        return judge(taken, new, record)
    finally:
        fleet.stop()


def judge(taken, new, record):
    """LOST: of 12 or more streams that clients take up again at machines in touch, while two runners
    of their software version serve, the share that goes on is under half of the share of new streams
    that begin."""
    print(f"{sum(taken)} of {len(taken)} streams went on, {sum(new)} of {len(new)} new ones began")
    record.add("judged", went_on=sum(taken), taken_up=len(taken), new=sum(new), asked=len(new))
    if len(taken) < 12 or sum(new) < len(new) / 2:
        raise RuntimeError("too few streams")
    share = sum(taken) / len(taken)
    return bed.BROKEN if share < sum(new) / len(new) / 2 else bed.HELD


bed.main(case, HERE)
