/** Runs simulated events in the order of their times. */

interface Entry {
  readonly atMs: number;
  readonly run: () => void;
}

/** Events may add further ones; those of one time run in the order added. */
export class Timetable {
  private readonly entries: Entry[] = [];
  private currentMs = 0;

  get nowMs(): number {
    return this.currentMs;
  }

  add(atMs: number, run: () => void): void {
    this.entries.splice(this.findPlace(atMs), 0, {atMs, run});
  }

  /** Runs until no event is left. */
  run(): void {
    for (;;) {
      const next = this.entries.pop();
      if (next === undefined) return;
      this.currentMs = next.atMs;
      next.run();
    }
  }

  /** The latest event comes first, so that the next one is cheap to remove. */
  private findPlace(atMs: number): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.entries[middle].atMs > atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
