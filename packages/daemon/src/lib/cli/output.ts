/** Output of commands: text for people, or one JSON object with `--json`; colours only on a terminal. */

/** Where a command writes. */
export interface Output {
  /** Writes a value as JSON with `--json`, otherwise the text made for people. */
  readonly write: (value: unknown, text: string) => void;
  /** Writes a message to standard error. */
  readonly writeError: (message: string) => void;
  /** Writes a line of progress to standard error, unless `--json` asks for silence. */
  readonly writeProgress: (message: string) => void;
  readonly formatGood: (text: string) => string;
  readonly formatBad: (text: string) => string;
}

const ESCAPE = String.fromCharCode(27);
const GREEN = '32';
const RED = '31';

/** Creates the output of one command. */
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
