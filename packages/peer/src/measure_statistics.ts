/** Statistics for the measurements. */

/** A straight line. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/**
 * Fits a line to points by least squares.
 *
 * @example
 * const {slope} = fitLine([[9, 3.1], [40, 3.3]]);
 */
export function fitLine(
  points: ReadonlyArray<readonly [number, number]>,
): Line {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}

/**
 * The smallest value that at least `share` of the values don't exceed.
 *
 * @example
 * const p90 = quantile(values, 0.9);
 */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)];
}
