/** Finds crashes by what was in flight at them. */

/** Crashes by key; keys without crashes take no memory. */
export class CrashIndex<Key, Crash> {
  private readonly crashes = new Map<Key, Set<Crash>>();

  add(key: Key, crash: Crash): void {
    const known = this.crashes.get(key) ?? new Set();
    this.crashes.set(key, known.add(crash));
  }

  remove(key: Key, crash: Crash): void {
    const known = this.crashes.get(key);
    known?.delete(crash);
    if (known?.size === 0) this.crashes.delete(key);
  }

  list(key: Key): readonly Crash[] {
    return [...(this.crashes.get(key) ?? [])];
  }

  count(key: Key): number {
    return this.crashes.get(key)?.size ?? 0;
  }
}
