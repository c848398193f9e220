/**
 * Output of commands: readable text, or one JSON object with `--json`; colours only on a terminal.
 */

/** Writes the output of a command. */
export interface Output {
  /** Writes the value as JSON with `--json`, otherwise the text. */
  readonly write: (value: unknown, text: string) => void;
  /** Writes a message to standard error. */
  readonly writeError: (message: string) => void;
  /** Writes a progress message to standard error, except with `--json`. */
  readonly writeProgress: (message: string) => void;
  /** Colours text green on a terminal. */
  readonly formatGood: (text: string) => string;
  /** Colours text red on a terminal. */
  readonly formatBad: (text: string) => string;
}

const ESCAPE = String.fromCharCode(27);
const GREEN = '32';
const RED = '31';

/** Creates the output of a command; `isJson` is the value of `--json`. */
export function createOutput(isJson: boolean): Output {
  const hasColour = process.stdout.isTTY && !process.env.NO_COLOR && !isJson;
  const formatColour = (colour: string, text: string) =>
    hasColour ? `${ESCAPE}[${colour}m${text}${ESCAPE}[0m` : text;
  return {
    write: (value, text) => {
      process.stdout.write(isJson ? `${JSON.stringify(value)}\n` : `${text}\n`);
    },
    writeError: (message) => {
      process.stderr.write(`${message}\n`);
    },
    writeProgress: (message) => {
      if (!isJson) process.stderr.write(`${message}\n`);
    },
    formatGood: (text) => formatColour(GREEN, text),
    formatBad: (text) => formatColour(RED, text),
  };
}
