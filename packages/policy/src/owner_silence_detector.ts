/**
 * Detects an owner that does not answer. A frozen owner stays in the membership
 * for a while, and callers would wait for it all that time.
 */
export class OwnerSilenceDetector {
  private replyExpectedSinceMs: number | undefined;

  constructor(private readonly silentAfterMs: number) {}

  /**
   * Records that the owner was sent a message that calls for an answer: the
   * permits in use, or a repeated request. A first request may get no answer
   * for a while.
   */
  replyExpected(nowMs: number): void {
    this.replyExpectedSinceMs ??= nowMs;
  }

  /** Records a message from the owner, or a change of owner. */
  reset(): void {
    this.replyExpectedSinceMs = undefined;
  }

  isSilent(nowMs: number): boolean {
    if (this.replyExpectedSinceMs === undefined) return false;
    return nowMs - this.replyExpectedSinceMs >= this.silentAfterMs;
  }
}
