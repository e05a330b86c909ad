/** Fixtures for tests of room at engines. */

import {
  brandAs,
  type ClientAccountId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import {EndpointMonitor, type ReportedLoad} from '../endpoint_monitor.js';
import {EngineRoom} from '../engine_room.js';
import type {AttemptEnd, ObservedAttempt} from '../load_correction.js';
import type {ArrivedRequest} from '../load_shedder.js';
import type {Prompt} from '../prompt.js';
import type {RouteId} from '../route.js';
import type {ServingEndpoint} from '../serving_endpoint.js';
import {makeEndpoint, makeRoute, REPAIR} from './fixtures.js';

export const MEMORY_TOKENS = 634_945;
export const TOKENS_PER_MS = 56;
export const NOW_MS = 100_000;

export const LONG = makeRoute({
  id: brandAs<RouteId>('long'),
  latencyTargetMs: 2500,
  pauseTargetMs: 600,
  timeoutMs: 15_000,
});
export const MEDIUM = makeRoute({
  id: brandAs<RouteId>('medium'),
  latencyTargetMs: 800,
  pauseTargetMs: 250,
  timeoutMs: 8000,
});

export const ANSWERED: AttemptEnd = {
  isAnswered: true,
  outcome: 'answered',
  pausesMs: [],
  workTimeRatio: undefined,
};

/** Creates a prompt of one shared part and one of its own. */
export function makeLongPrompt(
  shared = 'topic',
  changes: Partial<Prompt> = {},
): Prompt {
  return {
    tokens: 17_000,
    maxOutputTokens: 500,
    expectedOutputTokens: 120,
    parts: [
      {id: brandAs<PromptPartId>(shared), tokens: 13_300},
      {id: brandAs<PromptPartId>(`own-${shared}`), tokens: 3700},
    ],
    ...changes,
  };
}

/** A monitor and the room of four engines with 128 slots. */
export interface RoomFixture {
  readonly monitor: EndpointMonitor;
  readonly room: EngineRoom;
  readonly engines: readonly ServingEndpoint[];
}

/** Creates a bench of 64 instances whose rate of reading is known. */
export function makeRoomFixture(): RoomFixture {
  const monitor = new EndpointMonitor();
  const engines = ['one', 'two', 'three', 'four'].map(id =>
    makeEndpoint(id, {capacity: 128}),
  );
  const room = new EngineRoom({
    monitor,
    findEngine: () => ({batchSize: 128, cacheTokens: MEMORY_TOKENS}),
  });
  return {monitor, room, engines};
}

/** Sends requests that are read without a queue, with an empty cache. */
export function learnRate({room, engines}: RoomFixture, count = 40): void {
  for (let index = 0; index < count; index++) {
    const sentAtMs = NOW_MS - 8000 + index * 100;
    // The first half shows the rate, the other half that caches are empty.
    const isSmall = index < count / 2;
    const prompt = isSmall
      ? makeLongPrompt(`small-${index}`, {
          tokens: 5600,
          parts: [{id: brandAs<PromptPartId>(`small-${index}`), tokens: 5600}],
        })
      : makeLongPrompt(`empty-${index}`);
    const attempt = makeAttempt(engines[index % 4], prompt, sentAtMs);
    room.noteSent(attempt);
    const readMs = prompt.tokens / TOKENS_PER_MS;
    room.noteFirstEvent(attempt, sentAtMs + readMs);
    room.noteEnded(attempt, ANSWERED, sentAtMs + readMs + 700);
  }
}

/** Creates an attempt of a long request. */
export function makeAttempt(
  endpoint: ServingEndpoint,
  prompt: Prompt,
  sentAtMs: number,
): ObservedAttempt {
  return {endpoint, route: LONG, prompt, sentAtMs};
}

/** Reports the same load of all engines. */
export function reportLoads(
  {monitor, engines}: RoomFixture,
  load: Partial<ReportedLoad>,
  atMs = NOW_MS - 900,
): void {
  for (const {id} of engines) {
    const full = {running: 0, waiting: 0, capacity: 128, ...load};
    monitor.noteReportedLoad(id, full, atMs);
  }
}

/** Creates a long request of a less urgent rank. */
export function makeArrived(
  engines: readonly ServingEndpoint[],
  changes: Partial<ArrivedRequest> = {},
): ArrivedRequest {
  const nowMs = changes.nowMs ?? NOW_MS;
  const route = changes.route ?? LONG;
  return {
    service: REPAIR,
    route,
    prompt: makeLongPrompt(),
    clientAccount: brandAs<ClientAccountId>('account-1'),
    urgencyRank: 2,
    candidates: engines,
    arrivedAtMs: nowMs,
    endsAtMs: nowMs + route.timeoutMs,
    nowMs,
    ...changes,
  };
}
