/** Takes in what instances tell of the permits that they hold. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {PermitInUse, PermitRelease} from '@snipestage/types/permits.js';
import type {AttemptProgress} from './cell_messages.js';
import type {CellState} from './cell_state.js';
import type {HeldPermit, TokenMark} from './permit_book.js';
import {chargeProgress, settleCharge} from './token_costs.js';

/** How long a grant may be under way before it is sent again. */
const REGRANT_AFTER_MS = 1000;
/** The least time over which the time between tokens is measured. */
const MIN_MEASURED_MS = 200;

/** Keeps permits, charges and measurements in step with the reports. */
export class PermitReports {
  constructor(private readonly state: CellState) {}

  /** A second release of one attempt finds nothing and changes nothing. */
  release(release: PermitRelease, nowMs: number): void {
    const {state} = this;
    const permit = state.free(release.attempt);
    if (permit === undefined) return;
    state.counters.released++;
    const {promptTokens, outputTokens, outcome} = release;
    settleCharge(state.policy.queue, permit, promptTokens, outputTokens);
    if (outcome === 'ok') this.meterRelease(permit, release, nowMs);
    const sample = {
      outcome,
      outputTokens,
      firstTokenMs: release.firstTokenMs,
      betweenTokensMs: release.betweenTokensMs,
      targets: state.targetsOf(permit.requestClass),
    };
    state.endpoints.limitOf(permit.endpoint)?.finished(sample, nowMs);
  }

  progress(all: readonly AttemptProgress[], nowMs: number): void {
    for (const progress of all) {
      const permit = this.state.book.get(progress.attempt);
      if (permit === undefined) continue;
      const {outputTokens} = progress;
      permit.confirmed = true;
      permit.outputTokens = Math.max(permit.outputTokens, outputTokens);
      chargeProgress(this.state.policy.queue, permit);
      const elapsedMs = progress.elapsedMs ?? nowMs - permit.sinceMs;
      this.measure(permit, {outputTokens, elapsedMs}, nowMs);
    }
  }

  /** The whole list of what an instance holds. */
  inUse(
    instance: InstanceId,
    permits: readonly PermitInUse[],
    nowMs: number,
  ): void {
    const listed = new Set(permits.map(({attempt}) => attempt));
    for (const permit of permits) this.holdTold(instance, permit, nowMs);
    for (const permit of this.state.book.heldBy(instance)) {
      if (!listed.has(permit.attempt)) this.missing(permit, nowMs);
    }
    this.state.send(...this.state.allotments.repeat(instance, nowMs));
  }

  /** Begun under an allotment. */
  started(
    instance: InstanceId,
    permits: readonly PermitInUse[],
    nowMs: number,
  ): void {
    for (const permit of permits) this.holdTold(instance, permit, nowMs);
    this.state.counters.startedUnasked += permits.length;
  }

  /**
   * Time between tokens since the last mark. It is taken by the instance's clock
   * and over a minimum of time: reports that were held up arrive together, and by
   * their arrival the second would show an engine of endless speed.
   */
  private measure(permit: HeldPermit, mark: TokenMark, nowMs: number): void {
    if (mark.outputTokens === 0) return;
    const from = permit.measuredFrom;
    if (from === undefined) {
      permit.measuredFrom = mark;
      return;
    }
    const tokens = mark.outputTokens - from.outputTokens;
    const spanMs = mark.elapsedMs - from.elapsedMs;
    if (tokens <= 0 || spanMs < MIN_MEASURED_MS) return;
    permit.measuredFrom = mark;
    const targets = this.state.targetsOf(permit.requestClass);
    const limit = this.state.endpoints.limitOf(permit.endpoint);
    limit?.progressed(spanMs / tokens, targets, nowMs);
  }

  /** What the permit was held beyond the stream is the way there and back. */
  private meterRelease(
    permit: HeldPermit,
    release: PermitRelease,
    nowMs: number,
  ): void {
    const heldMs = nowMs - permit.sinceMs;
    this.state.meter.released(heldMs);
    if (release.firstTokenMs === undefined || permit.underAllotment) return;
    const betweenMs = release.betweenTokensMs ?? 0;
    const restMs = betweenMs * Math.max(0, release.outputTokens - 1);
    const streamMs = release.firstTokenMs + restMs;
    const oneWayMs = Math.max(0, heldMs - streamMs) / 2;
    this.state.meter.firstTokenCame(release.firstTokenMs + oneWayMs);
  }

  /**
   * The instance does not list a permit that it should hold. Either its release
   * was lost, then the permit would never come free; or the grant is still under
   * way or was lost, then it is sent again and the instance, if it has no use
   * for it any more, gives it back.
   */
  private missing(permit: HeldPermit, nowMs: number): void {
    if (permit.underAllotment || permit.confirmed) {
      this.state.free(permit.attempt);
      return;
    }
    if (nowMs - permit.sinceMs >= REGRANT_AFTER_MS) {
      this.state.sendGrant(permit);
    }
  }

  /** Counts a permit that the instance says it holds. */
  private holdTold(
    instance: InstanceId,
    told: PermitInUse,
    nowMs: number,
  ): void {
    this.state.removeWaiting(told.attempt);
    const known = this.state.book.get(told.attempt);
    if (known !== undefined && known.endpoint === told.endpoint) {
      const {underAllotment = known.underAllotment} = told;
      this.state.book.confirm(known, underAllotment);
      return;
    }
    const permit: HeldPermit = {
      attempt: told.attempt,
      instance,
      endpoint: told.endpoint,
      clientAccount: told.clientAccount,
      requestClass: told.requestClass,
      tier: told.tier,
      suspect: told.suspect ?? false,
      underAllotment: told.underAllotment ?? false,
      sinceMs: nowMs,
      confirmed: true,
      chargedTokens: 0,
      outputTokens: told.outputTokens,
    };
    this.state.hold(permit, nowMs);
    chargeProgress(this.state.policy.queue, permit);
  }
}
