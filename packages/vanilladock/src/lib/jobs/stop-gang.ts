/**
 * Stops what was started of a gang that cannot become complete. Its members would wait for each other
 * up to their workers' time limit, on capacity that they reserve, and end as `alone`.
 */
import { listStepTasks } from './apply-ends.js';
import type { PoolContext } from './pool-context.js';
import type { Task } from './state.js';

/**
 * Marks the other members of a task's gang that were started with the same run number as to be
 * stopped; does nothing for a task without a gang. The gang starts again once all of them have ended.
 */
export function stopOtherMembers(context: PoolContext, task: Task, run: number): void {
  const { table, report } = context;
  if (!table.findStep(task).isGang) return;
  const stopped = listStepTasks(context, task).filter((member) => {
    const { state } = member;
    const isOther = member.key !== task.key && state.kind === 'assigned' && state.run === run;
    if (!isOther || state.phase === 'stopping') return false;
    table.moveTask(member, { ...state, phase: 'stopping' });
    return true;
  });
  if (stopped.length === 0) return;
  report({ event: 'gang-broken-off', task: task.key, run, stopped: stopped.length });
}
