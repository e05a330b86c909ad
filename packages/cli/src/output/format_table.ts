/** Formats rows as a text table. */

const COLUMN_SEPARATOR = '  ';

/**
 * Aligns columns to the left under their headings.
 *
 * @example
 * formatTable(['number', 'author'], [[7, 'mere']]);
 */
export function formatTable(
  headings: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number | undefined>>,
): string {
  const cells = [headings, ...rows].map(row =>
    row.map(cell => String(cell ?? '-')),
  );
  const widths = headings.map((_, column) =>
    Math.max(...cells.map(row => row[column].length)),
  );
  return cells
    .map(row => row.map((cell, column) => cell.padEnd(widths[column])))
    .map(row => `${row.join(COLUMN_SEPARATOR).trimEnd()}\n`)
    .join('');
}
