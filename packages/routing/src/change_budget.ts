/** Divides the time in which a change of the store has to be in force. */

/** The stated targets. */
export interface ChangeTargets {
  /**
   * Time within which a change has to be known, even when a connection breaks.
   */
  readonly knownWithinMs: number;
  /** Time within which a change accepted by the store has to be in force. */
  readonly inForceWithinMs: number;
}

/** A path by which a change becomes known, and the longest time that it takes. */
export interface ChangePath {
  readonly name: string;
  /** From the store's acceptance to the last answer's arrival, at most. */
  readonly longestMs: number;
  readonly targetMs: number;
}

const MAX_CALL_MARGIN_MS = 500;
const MAX_FIRST_BACKOFF_MS = 100;
/** Shortest poll: after a failure, and after a pause that took up its time. */
export const PROBE_WAIT_MS = 100;
/** By how much a backoff is longer while another table's call has failed. */
export const STANDBY_FACTOR = 3;

/**
 * Waits on the paths from the store to an instance. All that follow one another
 * on a path are set here, so that their sum can be compared with its target.
 *
 * @example
 * const {freshForMs} = new ChangeBudget({knownWithinMs, inForceWithinMs});
 */
export class ChangeBudget {
  /** The shorter target, of which all waits but the poll are shares. */
  private readonly baseMs: number;

  constructor(private readonly targets: ChangeTargets) {
    this.baseMs = Math.min(targets.knownWithinMs, targets.inForceWithinMs);
  }

  /**
   * The budget of what instances publish to each other, such as crashes that a
   * request has caused: it has to be known, but isn't a change by operators.
   */
  forFacts(): ChangeBudget {
    const {knownWithinMs} = this.targets;
    return new ChangeBudget({knownWithinMs, inForceWithinMs: knownWithinMs});
  }

  /** Longest poll of a relay: without changes it confirms at this interval. */
  get relayWaitMs(): number {
    return 0.3 * this.baseMs;
  }

  /** A relay's pause after changes, so that the next come in one answer. */
  get relayGatherMs(): number {
    return 0.15 * this.baseMs;
  }

  /**
   * How long an answer of the store counts as current at a relay's followers,
   * from when the store made it. Then they poll the store themselves.
   */
  get freshForMs(): number {
    return 0.6 * this.baseMs;
  }

  /**
   * Pause after changes of an instance that polls the store itself. A poll sent
   * at once is answered within milliseconds; endpoints that come and go in turn
   * change a row every few hundred milliseconds, and each answer is a priced
   * call of every instance.
   */
  get gatherMs(): number {
    return Math.min(0.35 * this.baseMs, this.longestPauseMs);
  }

  /** Pause before the first poll, in which an instance can find a relay. */
  get initialDelayMs(): number {
    return Math.min(0.8 * this.baseMs, this.longestPauseMs);
  }

  /** Time allowed for the answer to a poll beyond the poll's wait. */
  get callMarginMs(): number {
    return Math.min(MAX_CALL_MARGIN_MS, 0.2 * this.baseMs);
  }

  /** Backoff after the first failure of a table. */
  get firstBackoffMs(): number {
    return Math.min(MAX_FIRST_BACKOFF_MS, 0.05 * this.baseMs);
  }

  /**
   * How long a poll and the pause before it last at most. A connection that has
   * gone silent is detected then.
   */
  get pollMs(): number {
    return this.targets.knownWithinMs - this.lostCallMs - this.answerMs;
  }

  /** Lists each path with the longest time that a change takes on it. */
  listPaths(): readonly ChangePath[] {
    const {knownWithinMs, inForceWithinMs} = this.targets;
    const {answerMs, lostCallMs} = this;
    const inForce = (name: string, waitMs: number) => ({
      name,
      longestMs: waitMs + answerMs,
      targetMs: inForceWithinMs,
    });
    return [
      inForce('polled', this.gatherMs),
      inForce('polled for the first time', this.initialDelayMs),
      inForce('relayed', this.relayGatherMs),
      // A connection to the store may have gone silent while it was not used.
      inForce('relay lost', this.freshForMs + lostCallMs),
      {
        name: 'relay confirms',
        longestMs: this.relayGatherMs + this.relayWaitMs + answerMs,
        targetMs: this.freshForMs,
      },
      {
        name: 'connection lost',
        longestMs: this.longestPollMs + lostCallMs + answerMs,
        targetMs: knownWithinMs,
      },
    ];
  }

  /** A pause and the poll after it. */
  private get longestPollMs(): number {
    const longestPauseMs = Math.max(this.gatherMs, this.initialDelayMs);
    return Math.max(this.pollMs, longestPauseMs + PROBE_WAIT_MS);
  }

  private get longestPauseMs(): number {
    return Math.max(0, this.pollMs - PROBE_WAIT_MS);
  }

  /** An answer that is on its way, and its use. */
  private get answerMs(): number {
    return 0.05 * this.baseMs;
  }

  /**
   * A call without an answer and the backoff after it, which is longer while
   * another table's call has failed before.
   */
  private get lostCallMs(): number {
    return this.callMarginMs + STANDBY_FACTOR * this.firstBackoffMs;
  }
}
