/** A batcher of stream records that never waits between transactions. */

import type {Platform} from '@snipestage/platform/platform.js';
import {CallPace} from '../streams/call_pace.js';
import {RecordBatcher} from '../streams/record_batcher.js';

export function makeRecordBatcher(platform: Platform): RecordBatcher {
  const pace = new CallPace({
    nowMs: () => performance.now(),
    intervalMs: () => 0,
    burst: () => 1,
  });
  return new RecordBatcher({platform, pace});
}
