/** Parses JSON texts of a given shape. */
import type { z } from 'zod';

/** Parses a text; undefined if it is not JSON or not of the shape. */
export function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.infer<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
