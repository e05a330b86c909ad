/** The process's state for operators, part by part. */

/** Plain data without any secret. */
export type DumpPart = () => unknown;

/** Collects what each task tells of itself. */
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

  /** A part that fails says so and does not hide the others. */
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
