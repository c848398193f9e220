/** Network addresses of the form `host:port`. */

/** Splits `host:port` at the last colon, without checking either part. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
