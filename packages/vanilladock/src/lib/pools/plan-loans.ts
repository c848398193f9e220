/**
 * Plans how pools share capacity: a pool whose demand exceeds its size borrows idle capacity of
 * other pools. Instances stay in their pools; only work moves, and the owner's work always has
 * priority. When capacity is scarce it is divided in proportion to the borrowers' deficits, so that
 * each has the same share of its deficit covered. The spare pool lends last.
 */

/** A pool's demand and size, in instances' worth of work. */
export interface LoanReading {
  readonly pool: string;
  readonly demand: number;
  readonly size: number;
  readonly isSpare: boolean;
}

/** Capacity in pool `from` that work of pool `to` may use, in instances' worth of work. */
export interface Loan {
  readonly from: string;
  readonly to: string;
  readonly amount: number;
}

/** Divides the surplus of some lenders among the borrowers in proportion to their deficits. */
function spreadSurplus(
  lenders: readonly LoanReading[],
  deficits: ReadonlyMap<string, number>,
): readonly Loan[] {
  const totalDeficit = [...deficits.values()].reduce((sum, deficit) => sum + deficit, 0);
  const surplus = lenders.reduce((sum, { size, demand }) => sum + size - demand, 0);
  if (totalDeficit <= 0 || surplus <= 0) return [];
  const usedShare = Math.min(1, totalDeficit / surplus);
  return lenders.flatMap(({ pool, size, demand }) =>
    [...deficits].map(([to, deficit]) => ({
      from: pool,
      to,
      amount: (size - demand) * usedShare * (deficit / totalDeficit),
    })),
  );
}

/** Sums the amount that each pool lends (`from`) or borrows (`to`); without pools that do not. */
export function sumLoans(loans: readonly Loan[], side: 'from' | 'to'): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  loans.forEach((loan) => sums.set(loan[side], (sums.get(loan[side]) ?? 0) + loan.amount));
  return sums;
}

/** Plans the loans for the current demand; empty when no pool is short or none has a surplus. */
export function planLoans(readings: readonly LoanReading[]): readonly Loan[] {
  const borrowers = readings.filter(({ demand, size }) => demand > size);
  const lenders = readings.filter(({ demand, size }) => demand < size);
  const deficits = new Map(borrowers.map(({ pool, demand, size }) => [pool, demand - size]));
  const regularLoans = spreadSurplus(
    lenders.filter(({ isSpare }) => !isSpare),
    deficits,
  );
  const borrowed = sumLoans(regularLoans, 'to');
  const remainingDeficits = new Map(
    [...deficits].map(([pool, deficit]) => [pool, deficit - (borrowed.get(pool) ?? 0)]),
  );
  const spareLoans = spreadSurplus(
    lenders.filter(({ isSpare }) => isSpare),
    remainingDeficits,
  );
  return [...regularLoans, ...spareLoans].filter(({ amount }) => amount > 0);
}
