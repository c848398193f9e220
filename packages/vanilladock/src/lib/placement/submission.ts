/** Checks what a caller submits as a task. */
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
  /** Kind of work, by which sizes are learned. */
  taskKind: NAME,
  declared: z.strictObject({
    cores: z.number().positive(),
    memoryMb: z.number().nonnegative(),
    accelerators: z.number().int().nonnegative().default(0),
  }),
});

/** A task as a caller submits it; its id is the caller's request id. */
export type TaskSubmission = Readonly<z.infer<typeof submissionSchema>>;

/** Parses the body of a submission; the error says what to correct. */
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
