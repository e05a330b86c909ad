/** Verdicts: whether a request may have run at an endpoint. */

/**
 * - `not_run`: no endpoint received any of it, or the one that did refused it
 *   without doing any work; a retry is safe.
 * - `may_have_run`: bytes were sent to an endpoint, and no answer shows whether
 *   it ran.
 * - `ran`: an endpoint answered it.
 */
export type Verdict = 'not_run' | 'may_have_run' | 'ran';

const SEVERITY: Readonly<Record<Verdict, number>> = {
  not_run: 0,
  may_have_run: 1,
  ran: 2,
};

/**
 * Combines the verdicts of two attempts into that of the request: the one that
 * is further from `not_run`.
 *
 * @example
 * worseVerdict('not_run', 'may_have_run'); // 'may_have_run'
 */
export function worseVerdict(left: Verdict, right: Verdict): Verdict {
  return SEVERITY[left] >= SEVERITY[right] ? left : right;
}
