/**
 * Signals of the process: one that asks it to stop, and one that asks it to read its settings again.
 * Loads no other module, so that an entry point can handle signals before it loads the program.
 */

/** The signals that have arrived and those to come. */
export interface ProcessSignals {
  /** Aborted by the first SIGTERM or SIGINT; later ones have no effect. */
  readonly stop: AbortSignal;
  /**
   * Sets what is done at each SIGHUP. If some arrived before, it is done once at the call. Before
   * it is set, a SIGHUP does nothing else.
   */
  readonly handleReloads: (handle: () => void) => void;
}

/** Starts to handle the signals of this process, none of which ends it by itself any more. */
export function watchSignals(): ProcessSignals {
  const stop = new AbortController();
  let isReloadDue = false;
  let handleReload = () => {
    isReloadDue = true;
  };
  process.on('SIGTERM', () => stop.abort());
  process.on('SIGINT', () => stop.abort());
  process.on('SIGHUP', () => handleReload());
  return {
    stop: stop.signal,
    handleReloads: (handle) => {
      handleReload = handle;
      if (isReloadDue) handle();
      isReloadDue = false;
    },
  };
}
