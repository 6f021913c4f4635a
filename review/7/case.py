"""One of five control machines is away while the leader is replaced as planned; it never takes part again."""

import asyncio
import json
import os
import random
import shutil
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_2"))

from kit import DEADLINES, Channels, Fleet, Machine, Record, base_config, make_request, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRAFFIC_S, CATCH_UP_S, RECOVER_S, READ_S, LOST = 14.0, 6.0, 15.0, 12.0, 2
# In a round, a machine is killed at 0 and is back at AWAY_S; the leader gets SIGTERM at LEADER_S. The one
# that leads then gives no orders for `leaseMs`, so that it is seen SEEN_S after the machine is back.
FIRST_S, ROUNDS, LEADER_S, AWAY_S, SEEN_S = 9.5, 3, 5.8, 7.0, 3.8


class Trails(Fleet):
    """A small deployment with the control machines, bounds and tolerance of srisawat-trails-large."""

    zones, region, tolerance = [f"isan-{letter}" for letter in "abcde"], "isan", 2

    def __init__(self, record):
        super().__init__(record, fronts=3, cores=5, contactMs=5000, ackMs=6000, catchUpS=6, drainMs=4000,
                         configApplyMs=3000, maxSkewMs=8000, budgetExtraRetries=630, recoverS=15,
                         passMs=200)
        self.removed = []

    def machines(self):
        return self.cores + self.removed + self.fronts

    def leader(self):
        """The control machine that gave the last order to an engine."""
        for _, _, order in reversed(self.orders):
            for machine in self.cores:
                if machine.name == order.get("holder"):
                    return machine
        return None


def config(version):
    """More models than the engines hold, so that the leader goes on giving orders."""
    found = base_config(version)
    models = found["services"][0]["engine"]["models"]
    models.extend(dict(models[0], name=f"m{index}") for index in range(len(models), 16))
    # As long as a load takes at the stand-ins.
    for model in models:
        model |= {"loadS": 0.4, "warmS": 0.4, "diskS": 0.4}
    return found


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Trails(record)
    try:
        for index in range(4):
            fleet.engine(f"lm-{index}", "lm-rota", fleet.zones[index % 5], 12, ["m0", "m1", "m2"])
        for index in range(3):
            fleet.engine(f"app-{index}", "circ-app", fleet.zones[index], 6)
        await fleet.start()
        if not await fleet.put(config(1)) or not await fleet.wait_ready():
            return 2
        channels, tasks, sent = Channels(fleet), set(), []

        async def load():
            await asyncio.sleep(max(0.0, record.began + TRAFFIC_S - now()))
            while True:
                await asyncio.sleep(random.expovariate(20))
                route = random.choice(list(DEADLINES))
                # Some of the models asked for aren't loaded, so that the leader gives orders.
                model = f"m{random.randrange(16)}" if random.random() < 0.3 else None
                made = make_request(route, random.choice(fleet.fronts), model=model)
                sent.append(made)
                task = asyncio.ensure_future(channels.send(made, DEADLINES[route]))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        loading = asyncio.ensure_future(load())

        async def replace_leader(number):
            """The leader is replaced while another machine is away; whether the new one leads."""
            new = Machine(fleet, f"core-new-{number}", f"{fleet.net}.{6 + number}",
                          random.choice(fleet.zones), "control_plane")
            new.bootstrap = False
            fleet.removed.append(new)
            # The successor comes first, and has its time to catch up before anything else happens.
            new.start()
            await asyncio.sleep(CATCH_UP_S + 0.5)
            leader = fleet.leader()
            if not leader:
                return None, False
            away = random.choice([machine for machine in fleet.cores if machine is not leader])
            record.add("chosen", away=away.name, leader=leader.name)
            begun = now()
            if TROUBLE:
                away.kill()
            await asyncio.sleep(begun + LEADER_S - now())
            leader.send(signal.SIGTERM)
            # The list of those that serve control, as the settings name them from now on.
            fleet.cores = [machine for machine in fleet.cores if machine is not leader] + [new]
            fleet.removed = [machine for machine in fleet.removed if machine is not new] + [leader]
            random.shuffle(fleet.cores)
            await asyncio.sleep(begun + AWAY_S - now())
            if TROUBLE:
                away.bootstrap = False
                away.start()
            await asyncio.sleep(SEEN_S)
            record.add("leads", machine=fleet.leader() and fleet.leader().name)
            return away, fleet.leader() is new

        await asyncio.sleep(max(0.0, record.began + FIRST_S - now()))
        for number in range(1, ROUNDS + 1):
            away, leads = await replace_leader(number)
            if not away:
                return 2
            if leads:
                break
        await asyncio.sleep(CATCH_UP_S + 1.0 - SEEN_S)
        others = [machine for machine in fleet.cores if machine is not away]
        lost = random.sample(others, LOST)
        acked = await fleet.put(config(2), cores=lost[:1])
        if not acked:
            return 2
        for machine in lost:
            machine.process.kill()
        for machine in lost:
            machine.kill()
            shutil.rmtree(os.path.join(machine.folder, "data"))
            record.add("disk_lost", machine=machine.name)
        await asyncio.sleep(1.0)
        for machine in lost:
            machine.bootstrap = False
            machine.start()
        back = now()
        record.add("all_back")
        reads = []

        async def read(machine):
            at = now()
            found = await fleet.call(machine.ip, "GET", "/api/configuration", timeout=2.0)
            status = found[0] if found else None
            version = json.loads(found[1])["version"] if status == 200 else None
            reads.append((at, version))
            record.add("read", machine=machine.name, status=status, version=version)

        while now() < back + RECOVER_S + READ_S:
            await asyncio.gather(*map(read, fleet.cores))
            await asyncio.sleep(0.2)
        loading.cancel()
        again = await fleet.put(config(3), limit_s=6.0)
        if tasks:
            await asyncio.wait(tasks, timeout=5)
        late = [read for read in reads if read[0] > back + RECOVER_S]
        came = [read for read in late if read[1] == 2]
        if not late:
            return 2
        asked = [made for made in sent if made.sent > back + RECOVER_S]
        served = [made for made in asked if made.status == 200 and made.whole]
        running = sum(machine.process.poll() is None for machine in fleet.cores)
        print(f"from {RECOVER_S:.0f} s after all were back: {len(came)} of {len(late)} reads gave "
              f"the acknowledged configuration, {len(served)} of {len(asked)} requests served, the "
              f"next configuration {'acknowledged' if again else 'not acknowledged'}; {running} of "
              f"5 control machines run")
        return 0 if came else 1
    finally:
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        record.save()
        fleet.end()


if __name__ == "__main__":
    sys.exit(run_case(main))
