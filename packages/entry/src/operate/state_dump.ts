/** Dump of the process's state for operators. */

/** Returns plain data without secrets. */
export type DumpPart = () => unknown;

/** Collects the named parts of the state. */
export class StateDump {
  private readonly parts = new Map<string, DumpPart>();

  /**
   * Adds a part under a name.
   *
   * @example
   * dump.add('inFlight', () => inFlight.snapshot(clock()));
   */
  add(name: string, part: DumpPart): void {
    this.parts.set(name, part);
  }

  /**
   * Reads all parts. A part that throws is replaced by its error, and the
   * others are still included.
   */
  read(): Record<string, unknown> {
    const dump: Record<string, unknown> = {};
    for (const [name, part] of this.parts) {
      try {
        dump[name] = part();
      } catch (error) {
        dump[name] = {error: String(error)};
      }
    }
    return dump;
  }
}
