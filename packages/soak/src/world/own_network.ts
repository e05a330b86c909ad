/** Loopback addresses that no other run uses. */

/** 127.0 and 127.1 are left to other programs. */
const FIRST_NETWORK_NUMBER = 2;
const NUMBER_COUNT = 250;

/**
 * Returns the first three numbers of the addresses of a run, by its process id.
 * Other programs' calls to 127.0.0.1 must not reach the run: the system reuses
 * ports for any listener, and an instance that outlives its soak keeps calling
 * its store at the old address, some twenty times a second.
 *
 * @example
 * const host = `${networkOf(process.pid)}.1`;
 */
export function networkOf(processId: number): string {
  const low = processId % NUMBER_COUNT;
  const high = Math.floor(processId / NUMBER_COUNT) % NUMBER_COUNT;
  return `127.${FIRST_NETWORK_NUMBER + high}.${low}`;
}
