/**
 * Notices an owner that answers nothing. A frozen owner keeps its place in the
 * membership for a while, and callers would wait for it all that time.
 */
export class OwnerWatch {
  private askedAtMs: number | undefined;

  constructor(private readonly silentAfterMs: number) {}

  /**
   * The owner was told something that it always answers: what is in use, or an
   * ask for the second time. It may have nothing to say to a first one.
   */
  asked(nowMs: number): void {
    this.askedAtMs ??= nowMs;
  }

  /** The owner has said something, or another one has come. */
  heard(): void {
    this.askedAtMs = undefined;
  }

  isSilent(nowMs: number): boolean {
    if (this.askedAtMs === undefined) return false;
    return nowMs - this.askedAtMs >= this.silentAfterMs;
  }
}
