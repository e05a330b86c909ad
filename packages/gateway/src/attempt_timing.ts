/** Times at which an attempt gets on. */

/** Measures one attempt from its start; times are of one monotonic clock. */
export class AttemptTiming {
  private readonly begunAtMs: number;
  private connectedAtMs: number | undefined;
  private headAtMs: number | undefined;

  constructor(private readonly nowMs: () => number) {
    this.begunAtMs = nowMs();
  }

  /** The connection is open, and the request is about to be sent. */
  noteConnected(): void {
    this.connectedAtMs ??= this.nowMs();
  }

  /** The head of the answer has arrived. */
  noteHead(): void {
    this.headAtMs ??= this.nowMs();
  }

  /** Time until the connection was open; undefined if it never was. */
  get connectMs(): number | undefined {
    return (
      this.connectedAtMs && Math.round(this.connectedAtMs - this.begunAtMs)
    );
  }

  /**
   * Time from then until the head of the answer; undefined if there was none.
   * An engine sends the head when it begins to generate, so that this contains
   * the time for which the request waited there.
   */
  get headMs(): number | undefined {
    return (
      this.headAtMs &&
      Math.round(this.headAtMs - (this.connectedAtMs ?? this.begunAtMs))
    );
  }
}
