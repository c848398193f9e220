/** Addresses as `host:port`. */

/** Takes host and port apart. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
