/** The phases of the placement measurement, which its arrivals and its faults follow. */

export const MINUTE_MS = 60_000;

/** Start of each phase, and the end of the run, in minutes of the simulation's clock. */
export const TIMELINE = {
  patientFlood: 1,
  quickFlood: 2,
  cancellations: 3,
  rackLoss: 3.25,
  outage: 4.25,
  recovery: 64.25,
  end: 66,
} as const;
