/**
 * Splits an address into host and port.
 *
 * @example
 * splitAddress('10.0.0.1:80'); // ['10.0.0.1', 80]
 */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
