/** The exit codes of the command line; docs/operators/command-line.md documents them. */

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** Success. */
  ok: 0,
  /** An unexpected error. */
  failed: 1,
  /** A file or flag is invalid; the message says where. */
  badInput: 2,
  /** The publication was refused. */
  refused: 3,
  /** Whether the publication took effect could not be determined. */
  unknown: 4,
  /** The log service or an entry could not be reached. */
  unreachable: 5,
  /** An address to listen on is in use. */
  addressInUse: 6,
} as const;

/** An exit code of the command line. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
