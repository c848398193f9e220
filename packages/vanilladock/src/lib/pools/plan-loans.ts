/**
 * Plans how pools share capacity: a pool that wants more than it holds borrows what others leave
 * idle. Instances stay in their pools; only work crosses over, and the owner's own work always goes
 * first. What is short is shared in proportion to what each borrower lacks, so that all keep the same
 * share; the spare pool lends last.
 */

/** A pool's demand and size, in instances' worth of work. */
export interface LoanReading {
  readonly pool: string;
  readonly demand: number;
  readonly size: number;
  readonly isSpare: boolean;
}

/** Capacity that one pool's work may use in another. */
export interface Loan {
  readonly from: string;
  readonly to: string;
  readonly amount: number;
}

/** Shares out the surplus of some lenders among the borrowers. */
function spreadSurplus(
  lenders: readonly LoanReading[],
  wants: ReadonlyMap<string, number>,
): readonly Loan[] {
  const wanted = [...wants.values()].reduce((sum, want) => sum + want, 0);
  const surplus = lenders.reduce((sum, { size, demand }) => sum + size - demand, 0);
  if (wanted <= 0 || surplus <= 0) return [];
  const used = Math.min(1, wanted / surplus);
  return lenders.flatMap(({ pool, size, demand }) =>
    [...wants].map(([to, want]) => ({
      from: pool,
      to,
      amount: (size - demand) * used * (want / wanted),
    })),
  );
}

/** Sums what each pool borrows or lends. */
export function sumLoans(loans: readonly Loan[], side: 'from' | 'to'): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  loans.forEach((loan) => sums.set(loan[side], (sums.get(loan[side]) ?? 0) + loan.amount));
  return sums;
}

/** Plans the loans for the demand of this moment. */
export function planLoans(readings: readonly LoanReading[]): readonly Loan[] {
  const borrowers = readings.filter(({ demand, size }) => demand > size);
  const lenders = readings.filter(({ demand, size }) => demand < size);
  const wants = new Map(borrowers.map(({ pool, demand, size }) => [pool, demand - size]));
  const first = spreadSurplus(
    lenders.filter(({ isSpare }) => !isSpare),
    wants,
  );
  const got = sumLoans(first, 'to');
  const rest = new Map([...wants].map(([pool, want]) => [pool, want - (got.get(pool) ?? 0)]));
  const last = spreadSurplus(
    lenders.filter(({ isSpare }) => isSpare),
    rest,
  );
  return [...first, ...last].filter(({ amount }) => amount > 0);
}
