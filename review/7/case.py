"""An engine whose entry has a state that isn't named, while it is emptied and taken away."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

from kit import DEADLINES, Channels, Fleet, Record, base_config, make_request, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEADY_S, LEAVES_S, LENGTH_S, DRAIN_S = 4.0, 9.0, 18.0, 3.0
RATES = {"desk-query": 40, "patron-notice": 4, "hold-place": 22, "catalogue-read": 9}


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(record)
    try:
        for index in range(12):
            fleet.engine(f"lm-{index}", "lm-rota", fleet.zones[index % 3], 64, ["m0", "m1", "m2"])
        for index in range(3):
            fleet.engine(f"app-{index}", "circ-app", fleet.zones[index], 6)
        await fleet.start()
        if not await fleet.put(base_config(1)) or not await fleet.wait_ready():
            return 2
        channels, tasks, sent = Channels(fleet), set(), []
        end = now() + LENGTH_S
        leaving = [fleet.engines[0], fleet.engines[12]]

        async def arrivals(route, rate):
            while now() < end:
                await asyncio.sleep(random.expovariate(rate))
                made = make_request(route, random.choice(fleet.fronts))
                sent.append(made)
                task = asyncio.ensure_future(
                    channels.send(made, DEADLINES[route], fresh=random.random() < 0.3))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        shown = []

        async def scale_in():
            await asyncio.sleep(STEADY_S)
            for engine in leaving:
                engine.state = "draining"
            if TROUBLE:
                leaving[1].state = "stopping"
            fleet.publish()
            record.add("list", engines=",".join(f"{e.name}={e.state}" for e in leaving))
            await asyncio.sleep(fleet.cloud.lag_s)
            before = fleet.cloud.fetches
            while fleet.cloud.fetches == before:
                await asyncio.sleep(0.005)
            shown.append(now())
            record.add("acknowledged")
            await asyncio.sleep(LEAVES_S)
            for engine in leaving:
                await engine.stop(reset=True)
            record.add("gone", engines=",".join(e.name for e in leaving))
            fleet.publish()

        loads = [asyncio.ensure_future(arrivals(*item)) for item in RATES.items()]
        loads.append(asyncio.ensure_future(scale_in()))
        await asyncio.gather(*loads)
        if tasks:
            await asyncio.wait(tasks, timeout=8)
        names = {engine.name for engine in leaving}
        late = [run for run in fleet.runs
                if run["engine"] in names and run["at"] > shown[0] + DRAIN_S]
        outcome = {made.id: made for made in sent}
        lost = 0
        for run in late:
            made = outcome[run["id"]]
            is_lost = made.status != 200 or not made.whole
            lost += is_lost
            record.add("DRAIN", id=run["id"], engine=run["engine"], route=made.route,
                       after=f"{run['at'] - shown[0]:.3f}", answered=made.status, lost=is_lost)
        whole = sum(made.status == 200 and made.whole for made in sent)
        print(f"{len(sent)} requests, {whole} served; {len(late)} reached a leaving engine over "
              f"{DRAIN_S} s after the list had shown it, {lost} of them weren't served")
        if whole < len(sent) / 2:
            return 2
        return 1 if late else 0
    finally:
        record.save()
        fleet.end()


if __name__ == "__main__":
    sys.exit(run_case(main))
