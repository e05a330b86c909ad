/**
 * Notices an owner that answers nothing. A frozen owner keeps its place in the
 * membership for a while, and callers would wait for it all that time.
 */
export class OwnerWatch {
  private askedAtMs: number | undefined;

  constructor(private readonly silentAfterMs: number) {}

  /** The owner was asked something that it answers. */
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
