/** Least-squares fit of a straight line. */

/** The line `value = intercept + slope * x`. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
}

/**
 * Fits a line by ordinary least squares; the slope is 0 if all `xs` are equal.
 *
 * @example
 * const {intercept, slope} = fitLine([9, 20, 40], cpuShares);
 * const at380 = intercept + slope * 380;
 */
export function fitLine(
  xs: readonly number[],
  values: readonly number[],
): LinearFit {
  const meanX = meanOf(xs);
  const meanValue = meanOf(values);
  let covariance = 0;
  let variance = 0;
  for (const [at, x] of xs.entries()) {
    covariance += (x - meanX) * (values[at] - meanValue);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {intercept: meanValue - slope * meanX, slope};
}

/** The mean; 0 when there are no values. */
export function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
