/** Whether a request may have run at an endpoint. */

/**
 * - `not_run`: no endpoint got a byte of it; asking again is safe.
 * - `may_have_run`: bytes left for an endpoint and no answer settled it.
 * - `ran`: an endpoint answered it.
 */
export type Verdict = 'not_run' | 'may_have_run' | 'ran';

const WEIGHT: Readonly<Record<Verdict, number>> = {
  not_run: 0,
  may_have_run: 1,
  ran: 2,
};

/**
 * The verdict on a request from those on its attempts.
 *
 * @example
 * worseVerdict('not_run', 'may_have_run'); // 'may_have_run'
 */
export function worseVerdict(left: Verdict, right: Verdict): Verdict {
  return WEIGHT[left] >= WEIGHT[right] ? left : right;
}
