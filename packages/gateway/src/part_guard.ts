/** Refuses prompts with parts that crash endpoints, and has some of them tried. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {PartSuspects} from '@snipestage/policy/part_suspects.js';
import {PartTrials, type TrialCount} from '@snipestage/policy/part_trials.js';
import type {EndpointId, PromptPartId} from '@snipestage/types/ids.js';
import type {RowCheck} from '@snipestage/types/table.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {composeTrialRow, decodeTrialRow} from './trial_rows.js';

/** Time in which a trial begins an answer or crashes its endpoint. */
const TRIAL_RETRY_AFTER_MS = 1000;
/** Time in which all instances have reported a crash. */
const REVIEW_AFTER_MS = 1500;
const NO_PARTS: readonly PromptPartId[] = [];

/** Whether a request may be sent, by the parts of its prompt. */
export type PartsAdmission =
  | {
      readonly kind: 'admitted';
      /** Suspect parts of which the request is a trial. */
      readonly trial: readonly PromptPartId[];
    }
  | {
      readonly kind: 'refused';
      readonly parts: readonly PromptPartId[];
      readonly retryAfterMs: number;
    };

/** Options of {@link PartGuard}. */
export interface PartGuardOptions {
  readonly suspects: PartSuspects;
  readonly platform: Platform;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly nowMs: () => number;
}

/** Claims trials in the store, so that instances don't make them at once. */
export class PartGuard {
  private readonly trials = new PartTrials();
  private readonly claiming = new Set<PromptPartId>();

  constructor(private readonly options: PartGuardOptions) {}

  /** Decides on a request that arrives; a trial of it is claimed first. */
  async admit(parts: readonly PromptPartId[]): Promise<PartsAdmission> {
    const {suspects, metrics, nowMs} = this.options;
    const decision = suspects.classify(parts, nowMs());
    if (decision.kind === 'clear') return {kind: 'admitted', trial: NO_PARTS};
    const {parts: suspect} = decision;
    const mayTry = this.trials.waitMs(suspect, nowMs()) === 0;
    const isTrial = mayTry && (await this.claim(suspect));
    metrics.countSuspectParts(isTrial ? 'trial' : 'refuse');
    if (isTrial) return {kind: 'admitted', trial: suspect};
    // Another request is the trial; its outcome is known soon.
    const retryAfterMs = mayTry
      ? TRIAL_RETRY_AFTER_MS
      : this.retryAfterMs(parts);
    return {kind: 'refused', parts: suspect, retryAfterMs};
  }

  /** Time until a request with suspect parts may be tried, or is let through. */
  retryAfterMs(parts: readonly PromptPartId[]): number {
    const {suspects, nowMs} = this.options;
    const decision = suspects.classify(parts, nowMs());
    if (decision.kind === 'clear') return 0;
    const waitMs = this.trials.waitMs(decision.parts, nowMs());
    return Math.max(TRIAL_RETRY_AFTER_MS, waitMs ?? decision.retryAfterMs);
  }

  /** Whether a request may still be sent, by the crashes known now. */
  mayRun(
    parts: readonly PromptPartId[],
    trial: readonly PromptPartId[] = NO_PARTS,
  ): boolean {
    const {suspects, nowMs} = this.options;
    const decision = suspects.classify(parts, nowMs());
    if (decision.kind === 'clear') return true;
    return decision.parts.every(part => trial.includes(part));
  }

  /** The trial's answer has begun; later trials count from the first again. */
  async passTrial(parts: readonly PromptPartId[]): Promise<void> {
    await this.lower(parts, () => 0);
  }

  /**
   * The trial's answer broke off. If its endpoint may have crashed for another
   * reason, it has shown nothing; what was there is known once all instances
   * have reported it.
   */
  async reviewTrial(
    parts: readonly PromptPartId[],
    endpoint: EndpointId,
  ): Promise<void> {
    await new Promise(resolve => {
      setTimeout(resolve, REVIEW_AFTER_MS).unref();
    });
    if (this.options.suspects.isInDoubt(parts, endpoint)) {
      await this.returnTrial(parts);
    }
  }

  /** No endpoint got the trial; another request may be it. */
  async returnTrial(parts: readonly PromptPartId[]): Promise<void> {
    await this.lower(parts, count => count - 1);
  }

  learn(count: TrialCount): void {
    this.trials.learn(count, this.options.nowMs());
  }

  /** The store was set back; counts are learnt from it again. */
  noteSetBack(): void {
    this.trials.clear();
  }

  private async lower(
    parts: readonly PromptPartId[],
    change: (count: number) => number,
  ): Promise<void> {
    const counts = parts
      .map(part => this.trials.readCount(part))
      .filter(({count}) => count > 0);
    if (counts.length > 0) await this.write(counts, change);
  }

  private async claim(parts: readonly PromptPartId[]): Promise<boolean> {
    if (parts.some(part => this.claiming.has(part))) return false;
    for (const part of parts) this.claiming.add(part);
    try {
      const counts = parts.map(part => this.trials.readCount(part));
      return await this.write(counts, count => count + 1);
    } finally {
      for (const part of parts) this.claiming.delete(part);
    }
  }

  private async write(
    counts: readonly TrialCount[],
    change: (count: number) => number,
  ): Promise<boolean> {
    const {platform, logger} = this.options;
    const writes = counts.map(each =>
      composeTrialRow(each.part, change(each.count)),
    );
    const checks: RowCheck[] = writes.map(({key}, index) => ({
      key,
      version: counts[index].rowVersion,
    }));
    const result = await platform.transact({checks, writes});
    logger.info('part_trial', {
      parts: counts.map(({part}) => part),
      count: change(counts[0].count),
      outcome: result.kind,
    });
    if (result.kind === 'committed') {
      for (const [index, {part, count}] of counts.entries()) {
        const rowVersion = result.versions[writes[index].key];
        this.learn({part, count: change(count), rowVersion});
      }
    } else if (result.kind === 'conflict') {
      for (const row of result.rows) {
        const known = decodeTrialRow(row.key, row.value, row.version);
        if (known !== undefined) this.learn(known);
      }
    }
    return result.kind === 'committed';
  }
}
