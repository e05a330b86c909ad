/** Loopback addresses that only one run uses. */

/** 127.0 and 127.1 are left to others. */
const FIRST_NETWORK = 2;
const NUMBERS = 250;

/**
 * The first three numbers of the addresses of a process. What others on the
 * machine call at 127.0.0.1 must not be met: the system gives its ports to any
 * listener in turn, and an instance that outlives its soak goes on asking for
 * its store some twenty times a second at the old address.
 *
 * @example
 * const host = `${networkOf(process.pid)}.1`;
 */
export function networkOf(processId: number): string {
  const low = processId % NUMBERS;
  const high = Math.floor(processId / NUMBERS) % NUMBERS;
  return `127.${FIRST_NETWORK + high}.${low}`;
}
