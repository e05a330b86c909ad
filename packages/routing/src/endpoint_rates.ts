/** Learns how fast endpoints are, and corrects loads by it. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import {
  LoadCorrection,
  type AttemptEnd,
  type ObservedAttempt,
} from './load_correction.js';
import {roundPace, type PaceSample} from './pace_view.js';
import {PauseStretch} from './pause_stretch.js';
import type {PlacementRequest} from './placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {findPaceMs} from './stream_pauses.js';
import {WorkTimeRatios} from './work_time_ratios.js';

/** Options of {@link EndpointRates}. */
export interface EndpointRatesOptions {
  /** Requests of all instances that run at an endpoint. */
  readonly runningAt: (id: EndpointId, nowMs: number) => number;
  /** Receives the samples of this instance (none). */
  readonly onSample?: (sample: PaceSample) => void;
}

/**
 * Least weights of a sample. At two samples per second a mean follows a change
 * within 5 s. Disturbances only lengthen pauses, hence a shorter one counts
 * twice as much as a longer one.
 */
const WEIGHT_OF_SHORTER = 0.3;
const WEIGHT_OF_LONGER = 0.15;
/** A longer sample counts as at most this multiple of the mean. */
const MAX_LOG_EXCESS = Math.log(1.6);
/** Samples without which an endpoint doesn't become slow: three recent ones. */
const MIN_COUNT_OF_SLOW = 2.5;
/** Growth of pauses per running request, measured on the uneven deployment. */
const GROWTH_PER_REQUEST = 0.015;
const HALF_LIFE_MS = 60_000;
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 4;
/** An endpoint becomes slow at the first figure and stops below the second. */
const BECOMES_SLOW = 1.3;
const STOPS_BEING_SLOW = 1.15;
/**
 * A stream that begins in a moment slower than this shows the moment and not
 * the endpoint: it may be over before the moment is.
 */
const MAX_MOMENT_RATIO = 1.25;
/**
 * A stream that waited longer, in parts of its target, shows a queue: an engine
 * with one reads prompts between all its steps, which lengthens every pause.
 * Without this limit the long side looked slow in a burst, and the split changed.
 * An endpoint of which little is known is learned from in spite of it: one that
 * isn't known to be slow gets too many requests, and has a queue all the time.
 */
const MAX_WAIT_SHARE = 0.5;

interface LearnedRate {
  readonly service: ServiceId;
  /** Mean logarithm of the samples in ms. */
  meanLog: number;
  /** Samples that the mean stands for; halved each {@link HALF_LIFE_MS}. */
  count: number;
  atMs: number;
  isSlow: boolean;
}

/**
 * Learns from pauses of streams and durations of plain answers, own ones and
 * those that other instances report. Applies to all instances alike, so that
 * they agree on which endpoints are slow.
 */
export class EndpointRates extends LoadCorrection {
  private readonly rates = new Map<EndpointId, LearnedRate>();
  /** Computed when needed after a change. */
  private readonly medians = new Map<ServiceId, number>();
  private readonly moments = new WorkTimeRatios();
  private readonly stretch = new PauseStretch();
  /** Streams that waited for their first event. */
  private readonly held = new WeakSet<ObservedAttempt>();

  constructor(private readonly options: EndpointRatesOptions) {
    super();
  }

  slownessOf({id}: ServingEndpoint, nowMs: number): number {
    const momentRatio = this.moments.findFresh(id, nowMs);
    return bound(Math.exp(this.relativeLog(id, nowMs)) * momentRatio);
  }

  extraLoadOf(): number {
    return 0;
  }

  loadPerRequest(): number {
    return 1;
  }

  shareOf(): number {
    return 1;
  }

  hasRoomFor(): boolean {
    return true;
  }

  override isSlow({id}: ServingEndpoint, nowMs: number): boolean {
    const rate = this.rates.get(id);
    if (rate === undefined) return false;
    const ratio = Math.exp(this.relativeLog(id, nowMs));
    if (ratio < STOPS_BEING_SLOW) rate.isSlow = false;
    else if (ratio >= BECOMES_SLOW && rate.count >= MIN_COUNT_OF_SLOW)
      rate.isSlow = true;
    return rate.isSlow;
  }

  /**
   * The longest pause to expect is the endpoint's pace times the stretch that
   * the route's streams have shown; it is compared with the pause target. The
   * more streams are late at usual endpoints too, the less is gained by avoiding
   * slow ones, and the more it crowds the others.
   */
  override lateShareOf(
    {id, service}: ServingEndpoint,
    {route, nowMs}: PlacementRequest,
  ): number {
    const {pauseTargetMs} = route;
    const medianLog = this.medianLog(service);
    if (pauseTargetMs === undefined || medianLog === undefined) return 0;
    const multiple = pauseTargetMs / Math.exp(medianLog);
    const ratio = bound(Math.exp(this.relativeLog(id, nowMs)));
    const late = this.stretch.shareAbove(route.id, multiple / ratio);
    const usual = this.stretch.shareAbove(route.id, multiple);
    return Math.max(0, late - 2 * usual);
  }

  noteSent(): void {}

  noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void {
    const {latencyTargetMs} = attempt.route;
    const waitMs = nowMs - attempt.sentAtMs;
    if (waitMs > latencyTargetMs * MAX_WAIT_SHARE) this.held.add(attempt);
  }

  noteEnded(attempt: ObservedAttempt, end: AttemptEnd, nowMs: number): void {
    const {endpoint, route, prompt, sentAtMs} = attempt;
    // The head of a stream, which states the ratio, is old when the stream ends.
    const statedAtMs = route.kind === 'stream' ? -Infinity : nowMs;
    const {workTimeRatio} = end;
    const moment = this.moments.note(endpoint.id, workTimeRatio, statedAtMs);
    if (route.kind === 'stream') this.noteStream(attempt, end, moment, nowMs);
    // An engine's whole answers take as long as they are; only pauses compare.
    else if (end.isAnswered && prompt === undefined)
      this.noteOwn(endpoint, (nowMs - sentAtMs) / moment, nowMs);
  }

  /**
   * A sample that another instance has reported.
   *
   * @example
   * rates.noteReported(sample, service);
   */
  noteReported({endpoint, paceMs, atMs}: PaceSample, service: ServiceId): void {
    this.learn(endpoint, service, paceMs, atMs);
  }

  /** For the dump of state. */
  describe(
    endpoint: ServingEndpoint,
    nowMs: number,
  ): {paceMs?: number; slowness?: number; isSlow?: boolean} {
    const rate = this.rates.get(endpoint.id);
    if (rate === undefined) return {};
    return {
      paceMs: roundPace(Math.exp(rate.meanLog)),
      slowness: Number(this.slownessOf(endpoint, nowMs).toFixed(2)),
      isSlow: this.isSlow(endpoint, nowMs),
    };
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.rates.keys()) {
      if (!ids.has(id)) this.forget(id);
    }
    this.moments.retain(ids);
  }

  forget(id: EndpointId): void {
    this.rates.delete(id);
    this.moments.forget(id);
    this.medians.clear();
  }

  private noteStream(
    attempt: ObservedAttempt,
    {pausesMs}: AttemptEnd,
    moment: number,
    nowMs: number,
  ): void {
    const {endpoint, route} = attempt;
    const measuredMs = findPaceMs(pausesMs);
    if (measuredMs === undefined) return;
    const count = this.rates.get(endpoint.id)?.count ?? 0;
    const isQueued = this.held.has(attempt) && count >= MIN_COUNT_OF_SLOW;
    const isDisturbed = moment > MAX_MOMENT_RATIO || isQueued;
    const running = Math.max(0, this.options.runningAt(endpoint.id, nowMs));
    const paceMs = measuredMs / (1 + GROWTH_PER_REQUEST * running);
    if (!isDisturbed) this.noteOwn(endpoint, paceMs, nowMs);
    const rate = this.rates.get(endpoint.id);
    if (rate === undefined) return;
    const longestMs = Math.max(...pausesMs);
    this.stretch.note(route.id, longestMs / Math.exp(rate.meanLog));
  }

  private noteOwn(
    {id, service}: ServingEndpoint,
    exactMs: number,
    atMs: number,
  ): void {
    const paceMs = roundPace(exactMs);
    if (!(paceMs > 0)) return;
    this.learn(id, service, paceMs, atMs);
    this.options.onSample?.({endpoint: id, paceMs, atMs});
  }

  private learn(
    id: EndpointId,
    service: ServiceId,
    paceMs: number,
    atMs: number,
  ): void {
    const log = Math.log(paceMs);
    const rate = this.rates.get(id);
    this.medians.delete(service);
    if (rate === undefined) {
      const first = {service, meanLog: log, count: 1, atMs, isSlow: false};
      this.rates.set(id, first);
      return;
    }
    const ageMs = Math.max(0, atMs - rate.atMs);
    const count = rate.count * 0.5 ** (ageMs / HALF_LIFE_MS);
    const excess = Math.min(MAX_LOG_EXCESS, log - rate.meanLog);
    const least = excess < 0 ? WEIGHT_OF_SHORTER : WEIGHT_OF_LONGER;
    rate.meanLog += excess * Math.max(least, 1 / (count + 1));
    rate.count = count + 1;
    rate.atMs = Math.max(rate.atMs, atMs);
  }

  /** Logarithm of the slowness; decays to 0 while there are no samples. */
  private relativeLog(id: EndpointId, nowMs: number): number {
    const rate = this.rates.get(id);
    if (rate === undefined) return 0;
    const median = this.medianLog(rate.service) ?? rate.meanLog;
    const ageMs = Math.max(0, nowMs - rate.atMs);
    return (rate.meanLog - median) * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Of an even number of endpoints the lower middle one: a usual one. */
  private medianLog(service: ServiceId): number | undefined {
    const known = this.medians.get(service);
    if (known !== undefined) return known;
    const means = [...this.rates.values()]
      .filter(each => each.service === service)
      .map(({meanLog}) => meanLog)
      .toSorted((one, other) => one - other);
    const median = means.at(Math.floor((means.length - 1) / 2));
    if (median !== undefined) this.medians.set(service, median);
    return median;
  }
}

function bound(slowness: number): number {
  return Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, slowness));
}
