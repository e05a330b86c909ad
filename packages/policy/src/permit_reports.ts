/** Handles the reports of instances on the permits that they hold. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {PermitInUse, PermitRelease} from '@snipestage/types/permits.js';
import type {AttemptProgress} from './cell_messages.js';
import type {CellState} from './cell_state.js';
import type {HeldPermit, TokenMark} from './permit_book.js';
import {chargeProgress, settleCharge} from './token_costs.js';

/** How long a grant may be in transit before it is sent again. */
const REGRANT_AFTER_MS = 1000;
/** Shortest span over which the time between tokens is measured. */
const MIN_MEASURED_SPAN_MS = 200;

/** Keeps permits, charges and measurements in step with the reports. */
export class PermitReports {
  constructor(private readonly state: CellState) {}

  /** Frees a permit; a second release of the same attempt changes nothing. */
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

  /** Handles the full list of the permits that an instance holds. */
  inUse(
    instance: InstanceId,
    permits: readonly PermitInUse[],
    nowMs: number,
  ): void {
    const listed = new Set(permits.map(({attempt}) => attempt));
    for (const permit of permits) this.recordPermit(instance, permit, nowMs);
    for (const permit of this.state.book.heldBy(instance)) {
      if (!listed.has(permit.attempt)) this.handleUnlistedPermit(permit, nowMs);
    }
    this.state.send(...this.state.allotments.repeat(instance, nowMs));
  }

  /** Handles attempts that an instance started under its allotment. */
  started(
    instance: InstanceId,
    permits: readonly PermitInUse[],
    nowMs: number,
  ): void {
    for (const permit of permits) this.recordPermit(instance, permit, nowMs);
    this.state.counters.startedUnasked += permits.length;
  }

  /**
   * Measures the time between tokens since the last mark, by the instance's
   * clock and over a minimum span. Delayed reports arrive together, and by
   * their times of arrival the second would show an infinitely fast engine.
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
    if (tokens <= 0 || spanMs < MIN_MEASURED_SPAN_MS) return;
    permit.measuredFrom = mark;
    const targets = this.state.targetsOf(permit.requestClass);
    const limit = this.state.endpoints.limitOf(permit.endpoint);
    limit?.progressed(spanMs / tokens, targets, nowMs);
  }

  /**
   * Takes the time a permit was held beyond the stream as the transit both
   * ways.
   */
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
    this.state.meter.firstTokenObserved(release.firstTokenMs + oneWayMs);
  }

  /**
   * Handles a permit that its instance should hold but does not list. If the
   * instance knew of it, the release was lost, and the permit is freed, since
   * it would otherwise be held for good. If not, the grant is in transit or was
   * lost: after a while it is sent again, and an instance that no longer needs
   * it returns it.
   */
  private handleUnlistedPermit(permit: HeldPermit, nowMs: number): void {
    if (permit.underAllotment || permit.confirmed) {
      this.state.free(permit.attempt);
      return;
    }
    if (nowMs - permit.sinceMs >= REGRANT_AFTER_MS) {
      this.state.sendGrant(permit);
    }
  }

  /** Records a permit that the instance reports as held. */
  private recordPermit(
    instance: InstanceId,
    reportedPermit: PermitInUse,
    nowMs: number,
  ): void {
    this.state.removeWaiting(reportedPermit.attempt);
    const known = this.state.book.get(reportedPermit.attempt);
    if (known !== undefined && known.endpoint === reportedPermit.endpoint) {
      const {underAllotment = known.underAllotment} = reportedPermit;
      this.state.book.confirm(known, underAllotment);
      return;
    }
    const permit: HeldPermit = {
      attempt: reportedPermit.attempt,
      instance,
      endpoint: reportedPermit.endpoint,
      clientAccount: reportedPermit.clientAccount,
      requestClass: reportedPermit.requestClass,
      tier: reportedPermit.tier,
      suspect: reportedPermit.suspect ?? false,
      underAllotment: reportedPermit.underAllotment ?? false,
      sinceMs: nowMs,
      confirmed: true,
      chargedTokens: 0,
      outputTokens: reportedPermit.outputTokens,
    };
    this.state.hold(permit, nowMs);
    chargeProgress(this.state.policy.queue, permit);
  }
}
