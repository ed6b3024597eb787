"""Demo: two data centres, every kind of work, and one killed node."""

import asyncio
import sys
from typing import Any

import attrs

import celeryshift_client
from celeryshift_standins import bed as beds

WORKERS_PER_DATA_CENTRE = 4
VALIDATIONS = 200


@attrs.define
class TableRow:
    """One row of the printed table."""

    step: str
    result: str
    where: str = ''
    waited_ms: str = ''


class Demo:
    """Steps of the demo on a test bed of processes."""

    def __init__(self, bed: beds.Bed) -> None:
        self._bed = bed
        self._rows: list[TableRow] = []
        self._key = ''

    async def run(self) -> None:
        """Run every step, in order."""
        await self._set_up()
        await self._run_requests()
        await self._run_load()
        await self._run_jobs()
        await self._withdraw_key()
        await self._kill_node()

    def print_table(self) -> None:
        """Print the result, the worker and the wait of each step."""
        rows = [('step', 'result', 'where', 'waited ms')]
        rows += [attrs.astuple(entry) for entry in self._rows]
        widths = [max(len(row[i]) for row in rows) for i in range(4)]
        for row in rows:
            cells = [
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            ]
            sys.stdout.write('  '.join(cells).rstrip() + '\n')

    async def _set_up(self) -> None:
        bed = self._bed
        for data_centre in ('dc1', 'dc2'):
            await bed.add_workers(
                data_centre, WORKERS_PER_DATA_CENTRE, 'coding'
            )
            for number in (1, 2):
                name = f'{data_centre}-node{number}'
                await bed.add_node(name, data_centre)
        fleet = celeryshift_client.Fleet()
        fleet.upstream('coding')
        for team, share in (('ministry', 4), ('public', 1)):
            fleet.team(team, share=share, limit_slots=64)
        secret = celeryshift_client.new_secret()
        self._key = fleet.key('ministry-1', 'ministry', secret)
        fleet.queue('field')
        fleet.queue('walk-in', open_for='public')
        fleet.request('validate', 'coding', urgent=True, timeout_s=2.0)
        fleet.request('seal', 'coding', repeatable=False)
        fleet.batch('recode', 'coding')
        fleet.gang('panel', 'coding')
        fleet.service('keeper', 'coding')
        await bed.submit_config(fleet)
        await bed.wait_for_owners()
        self._add_row('configuration', f'in force on {len(bed.nodes_by_name)}')

    async def _run_requests(self) -> None:
        async with self._client('dc1-node1') as caller:
            for step, kind, queue in (
                ('open-queue request', 'validate', 'walk-in'),
                ('request by key', 'validate', 'field'),
                ('seal, not repeatable', 'seal', 'field'),
            ):
                answer = await caller.request(kind, queue, {'who': step})
                self._add_answer(step, answer)
            body: dict[str, Any] = {'id': 'seal-7'}
            await caller.request('seal', 'field', {}, **body)
            refused = await self._outcome(
                caller.request('seal', 'field', {}, **body)
            )
            self._add_row('the same seal again', refused)

    async def _run_load(self) -> None:
        node = self._bed.nodes_by_name['dc2-node1']
        summary = await self._bed.run_caller(
            node, 'validate', 'walk-in', count=200, rate_per_s=200.0
        )
        refused = sum(summary['refused'].values())
        result = f'{summary["answered"]} answered, {refused} refused'
        waited = f'{summary["median_wait_ms"]:.1f} (median)'
        self._add_row('a caller, 200 a second', result, 'dc2', waited)

    async def _run_jobs(self) -> None:
        async with self._client('dc2-node1') as caller:
            for step, kind, tasks, run_s in (
                ('batch job', 'recode', 20, 0.1),
                ('all-at-once job', 'panel', 6, 0.2),
                ('service', 'keeper', 2, 3600.0),
            ):
                job = f'demo-{kind}'
                await caller.submit(
                    kind, 'field', {'run_s': run_s}, id=job, tasks=tasks
                )
                final_state = 'running' if kind == 'keeper' else 'done'
                state_text = await self._wait_for_job(
                    caller, job, final_state, tasks
                )
                self._add_row(step, state_text)

    async def _withdraw_key(self) -> None:
        node = self._bed.nodes_by_name['dc1-node2']
        token = beds.OPERATOR_TOKEN
        async with self._bed.client(node, token) as operator:
            await operator.call('DELETE', '/operator/v1/keys/ministry-1')
        async with self._client('dc2-node2') as caller:

            async def refused() -> bool:
                result = await self._outcome(
                    caller.request('validate', 'field', {})
                )
                return 'withdrawn-key' in result

            await self._bed.wait_until(refused, 'the withdrawn key is refused')
            result = await self._outcome(
                caller.request('validate', 'field', {})
            )
            self._add_row('request by withdrawn key', result)

    async def _kill_node(self) -> None:
        bed = self._bed
        bed.kill(bed.nodes_by_name['dc1-node1'])
        waited: list[float] = []
        refused = 0
        async with self._client('dc1-node2') as caller:
            while len(waited) < VALIDATIONS:
                try:
                    answer = await caller.request('validate', 'walk-in', {})
                except celeryshift_client.ProblemError as error:
                    if error.ran != 'no' or error.retry_after_s is None:
                        raise
                    refused += 1
                    await asyncio.sleep(error.retry_after_s)
                else:
                    waited.append(answer['waited_s'])
        waited.sort()
        median_ms = 1000 * waited[len(waited) // 2]
        summary_text = (
            f'{VALIDATIONS} answered after a kill, {refused} refused first'
        )
        self._add_row(
            'validations', summary_text, 'dc1', f'{median_ms:.1f} (median)'
        )
        del bed.nodes_by_name['dc1-node1']
        await bed.wait_for_owners()
        self._add_row('slices of the killed node', 'have owners again')

    async def _wait_for_job(
        self,
        caller: celeryshift_client.Client,
        job: str,
        state: str,
        tasks: int,
    ) -> str:
        job_state: dict[str, Any] = {}

        async def reached() -> bool:
            try:
                job_state.update(await caller.job(job, 'field'))
            except celeryshift_client.ProblemError as error:
                if error.retry_after_s is None:
                    raise
                return False
            running = state != 'running' or job_state['running'] == tasks
            return job_state['state'] == state and running

        await self._bed.wait_until(reached, f'{job} is {state}')
        return f'{job_state["state"]}, {tasks} tasks'

    async def _outcome(self, call: Any) -> str:
        try:
            await call
        except celeryshift_client.ProblemError as error:
            return f'refused: {error.reason}, ran: {error.ran}'
        return 'answered'

    def _client(self, node: str) -> celeryshift_client.Client:
        return self._bed.client(self._bed.nodes_by_name[node], self._key)

    def _add_answer(self, step: str, answer: dict[str, Any]) -> None:
        waited = f'{1000 * answer["waited_s"]:.1f}'
        self._add_row(step, 'answered', answer['worker'], waited)

    def _add_row(
        self, step: str, result: str, where: str = '', waited_ms: str = ''
    ) -> None:
        self._rows.append(TableRow(step, result, where, waited_ms))


async def _run() -> None:
    async with beds.Bed() as bed:
        demo = Demo(bed)
        try:
            await demo.run()
        except Exception:
            bed.print_logs()
            raise
    demo.print_table()


def main() -> None:
    """Run the demo, and kill every process that it started."""
    asyncio.run(_run())


if __name__ == '__main__':
    main()
