/** Validates task submissions from callers. */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import { URGENCIES } from '../config/schema.js';

const NAME_MAX = 128;
const NAME = z.string().min(1).max(NAME_MAX);

const submissionSchema = z.strictObject({
  team: NAME,
  pool: NAME,
  urgency: z.enum(URGENCIES),
  /** Kind of work; resource sizes are learned per kind. */
  taskKind: NAME,
  declared: z.strictObject({
    cores: z.number().positive(),
    memoryMb: z.number().nonnegative(),
    accelerators: z.number().int().nonnegative().default(0),
  }),
});

/** A task as submitted by a caller; the request id serves as its task id. */
export type TaskSubmission = Readonly<z.infer<typeof submissionSchema>>;

/** Parses the JSON body of a submission; the error message names the invalid field. */
export function parseSubmission(text: string): Result<TaskSubmission, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Err('The body is not JSON.');
  }
  const parsed = submissionSchema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  return Err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`);
}
