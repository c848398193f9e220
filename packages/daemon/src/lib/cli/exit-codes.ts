/** Exit codes of the command line, as documented in docs/operators/command-line.md. */

/** Exit codes by meaning. */
export const EXIT_CODES = {
  ok: 0,
  /** An unexpected error. */
  failed: 1,
  /** A file or flag is wrong; the message says where. */
  badInput: 2,
  /** The publication was refused. */
  refused: 3,
  /** No answer tells whether the publication took effect. */
  unknown: 4,
  /** The log service or an entry could not be reached. */
  unreachable: 5,
  /** An address to listen on is in use. */
  addressInUse: 6,
} as const;

/** One exit code. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
