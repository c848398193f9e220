/** Placeholder index, replaced below. */
export {};
