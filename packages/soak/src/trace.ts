/** Keeps what is needed to trace the findings of a run. */

import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {History, SentRequest} from './history.js';
import type {SoakResult} from './soak.js';

/**
 * Writes the findings with their requests and runs, all disturbances and the
 * logs of all instances into a new folder; nothing where nothing was found.
 *
 * @example
 * writeTrace('traces', result);
 */
export function writeTrace(folder: string, result: SoakResult): void {
  const {seed, findings, history, faults, startedAtMs, logs} = result;
  if (findings.length === 0) return;
  const own = join(folder, `${seed}-${process.pid}`);
  mkdirSync(own, {recursive: true});
  const known = new Map(history.requests.map(each => [each.requestId, each]));
  const trace = {
    /** Added to a time of the history, gives the time of the log lines. */
    clockOffsetMs: performance.timeOrigin,
    startedAtMs,
    findings: findings.map(finding => ({
      ...finding,
      request: known.get(finding.requestId ?? ''),
      arrivals: history.arrivalsOf(finding.requestId ?? ''),
      ownDelayMs: ownDelayUntilArrival(
        history,
        known.get(finding.requestId ?? ''),
      ),
    })),
    /** Sent since the last fault. */
    lastRequests: history.requests
      .filter(({sentAtMs}) => sentAtMs >= history.faultsEndedAtMs)
      .map(request => ({
        ...request,
        arrivals: history.arrivalsOf(request.requestId),
      })),
    disturbances: history.disturbances,
    instanceCuts: history.instanceCuts,
    ends: history.ends,
    faults,
  };
  writeFileSync(join(own, 'trace.json'), JSON.stringify(trace, undefined, 1));
  for (const [id, text] of logs) writeFileSync(join(own, `${id}.log`), text);
}

/** How long the soak itself held up a request on its way to its last endpoint. */
function ownDelayUntilArrival(
  history: History,
  request: SentRequest | undefined,
): number | undefined {
  const last = history.arrivalsOf(request?.requestId ?? '').at(-1);
  if (request === undefined || last === undefined) return undefined;
  return history.ownDelayMs(request.sentAtMs, last.arrivedAtMs);
}
